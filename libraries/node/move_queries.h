#pragma once

#include "http/http_request.h"
#include "http/http_response.h"

#include <optional>

namespace peridot {

class decision_log;
class move_agent;
struct node_state;

/// Answers GET /moves and GET /decisions[?subject=ID] of the admin interface; no value for other
/// requests. A subject is a whole one, such as moves/7, or the id of a move.
std::optional<http_response> answer_move_query(http_request const& request, node_state const& state,
                                               move_agent const& moves,
                                               decision_log const& decisions);

} // namespace peridot
