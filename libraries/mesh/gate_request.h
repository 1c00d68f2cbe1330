#pragma once

#include "core/boot_clock.h"

#include <cstdint>
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
};

} // namespace peridot
