#pragma once

#include <cstdint>
#include <string_view>

namespace peridot {

/// Names the limit of one workspace at one service in messages.
using limit_key = std::uint64_t;

/// The key of a workspace and a service; the same on every node.
limit_key limit_key_of(std::string_view workspace, std::string_view service);

/// The fleet-wide limit of one (workspace, service).
struct limit_quota {
    double rate_per_second = 0.0;
    /// Requests that may come at once after a pause.
    double burst = 1.0;
    std::uint32_t concurrency = 0;
};

/// What a node knows of the fleet that shares a limit.
struct fleet_view {
    /// Entry nodes believed alive.
    std::uint32_t alive = 1;
    /// Those alive and those that vanished without leaving; never below alive. A side of a
    /// partition hands out only its part of the limit.
    std::uint32_t known = 1;
};

/// Part of the limit that the nodes alive in this view may use together.
double visible_part(fleet_view const& fleet);

} // namespace peridot
