#pragma once

#include "core/time.h"

#include <memory>

namespace peridot {

class membership_agent;
struct node_state;

/// Runs the division of fleet-wide limits on the control thread: keeps the limiters of the held
/// version, reports their demand to the dividers, and divides the limits that this node is
/// responsible for.
class limit_agent {
public:
    limit_agent(node_state& state, membership_agent& members);
    ~limit_agent();
    limit_agent(limit_agent const&) = delete;
    limit_agent& operator=(limit_agent const&) = delete;
    limit_agent(limit_agent&&) = delete;
    limit_agent& operator=(limit_agent&&) = delete;

    /// Called about every 100 ms.
    void tick(steady_time now);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
