#pragma once

#include "core/time.h"
#include "node/move_links.h"
#include "node/running_move.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace peridot {

class decision_log;
struct node_state;

/// Runs the moves of the held version on the control thread: merges what the nodes know of gate,
/// take-back and pause, sets the shares of the request path, reports evidence, and judges the moves
/// that this node is a judge of. Needs no platform.
class move_agent {
public:
    /// The state and the log must outlive the agent.
    move_agent(node_state& state, decision_log& decisions, move_links links);
    ~move_agent();
    move_agent(move_agent const&) = delete;
    move_agent& operator=(move_agent const&) = delete;
    move_agent(move_agent&&) = delete;
    move_agent& operator=(move_agent&&) = delete;

    /// Called about every 100 ms.
    void tick(steady_time now, wall_time clock);

    /// One move's state for a membership datagram that leaves now; empty if no move runs.
    std::string next_state();

    /// Take in what other nodes sent; the bytes are untrusted.
    void receive_state(std::string_view bytes, std::string_view sender);
    void receive_evidence(std::string_view bytes);

    /// The moves of the held version by id.
    std::map<std::string, running_move> const& moves() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
