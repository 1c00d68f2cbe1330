#pragma once

#include "core/result.h"
#include "proxy/routed_call.h"

#include <string>

namespace peridot {

struct http_request;
struct node_state;

/// Authenticates a call and finds its route, deadline and target version. Nothing is sent on yet,
/// so every error means that the request was not run.
result<routed_call> route_call(node_state const& state, http_request const& request,
                               std::string request_id, steady_time now);

} // namespace peridot
