#pragma once

#include "moves/move_state.h"
#include "moves/route_evidence.h"

#include <boost/json/object.hpp>

namespace peridot {

class decision_log;
struct move_plan;
struct running_move;

/// Record what happens to a move in the decision log under "moves/<id>", and log it.
void record_declared(decision_log& decisions, move_plan const& plan);
void record_changes(decision_log& decisions, running_move const& move, move_state const& before);
void record_over(decision_log& decisions, running_move const& move);

/// Logs a share that is now in force on this node.
void record_share(running_move const& move, double share);

/// A take-back with its figures and one sentence.
boost::json::object to_json(take_back const& decision);

/// Calls and failures of both versions.
boost::json::object figures_of(route_evidence const& evidence);

} // namespace peridot
