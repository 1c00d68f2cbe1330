#pragma once

#include "core/time.h"

#include <optional>

namespace peridot {

/// Load of a target.
struct gate_load {
    unsigned in_use = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Expected queueing time of a request that arrives now.
    milliseconds expected_wait{0};
    /// Mean time that the target takes for a request of the route given in the query.
    milliseconds service_time{0};
    /// Failure rate of the target's latest responses, from 0 to 1.
    double failure_rate = 0;
    /// Present pace of work on the target's instance as the target states it; 1 is usual. No value
    /// if the target states none.
    std::optional<double> pace;
};

} // namespace peridot
