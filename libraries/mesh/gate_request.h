#pragma once

#include "core/boot_clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridot {

/// Properties of a request that is queued for a slot of the target.
struct gate_request {
    std::uint64_t id = 0;
    /// Route of the request; service times are measured per route.
    std::string route;
    unsigned priority = 0;
    /// Time until which a response has its full value for the caller.
    boot_time soft_deadline;
    /// Time after which the caller no longer waits for a response.
    boot_time deadline;
    /// The request is refused immediately if its response is not expected by this time.
    boot_time finish_by;
    /// Workspace of the caller; empty if the request has none.
    std::string workspace = {};
    /// 0 is the highest; goes before the priority of the route. A request of a workspace without
    /// one ranks after all that have one.
    std::optional<unsigned> workspace_priority = {};
    /// Time of the offer. Set by the queue.
    boot_time arrived = {};
    /// Whether the caller was refused before and has come back. Determined by the queue.
    bool is_return = false;
};

} // namespace peridot
