#pragma once

#include "core/boot_clock.h"

#include <cstdint>
#include <string>

namespace peridot {

/// What the gate knows of a request that asks for a slot of the target.
struct gate_request {
    std::uint64_t id = 0;
    /// Requests of one route take similar times at the target.
    std::string route;
    unsigned priority = 0;
    /// Until then an answer has its full value for the caller.
    boot_time soft_deadline;
    /// After this nobody waits for the answer.
    boot_time deadline;
    /// The request is refused at once if the answer is not expected by then.
    boot_time finish_by;
};

} // namespace peridot
