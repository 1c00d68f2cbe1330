#pragma once

#include "core/random_source.h"
#include "core/time.h"
#include "edits/move_finish.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>

namespace peridot {

class move_agent;
class object_client;
class table_client;
struct node_state;
struct running_move;

/// Records finished moves at the platform. The move's first judge tries first and the next ones
/// later, so that one node usually does it; the conditions of the edit make a second recording fail
/// with move_finished.
class move_recording {
public:
    move_recording(node_state const& state, move_agent const& moves, table_client& table,
                   object_client& objects);

    /// Looks for moves to record for ever. Runs on the control thread.
    boost::asio::awaitable<void> run();

private:
    struct attempt_state {
        unsigned failures = 0;
        steady_time next = steady_time::min();
    };

    boost::asio::awaitable<void> record(move_finish finish);
    void back_off(attempt_state& state);

    node_state const* state;
    move_agent const* moves;
    table_client* table;
    object_client* objects;
    std::map<std::string, attempt_state> attempts;
    random_source random = make_random_source();
};

/// How long a node waits with recording a move that is over; no value if it is not for this node.
/// The judges take turns, and a completed move waits a little for a late take-back.
std::optional<milliseconds> recording_delay(running_move const& move, std::string const& instance);

/// The edit that records a move that is over.
move_finish make_finish(running_move const& move, std::string const& instance);

} // namespace peridot
