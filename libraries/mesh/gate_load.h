#pragma once

#include "core/time.h"

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
};

} // namespace peridot
