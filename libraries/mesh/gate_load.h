#pragma once

#include "core/time.h"

namespace peridot {

/// How busy a target is.
struct gate_load {
    unsigned in_use = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Expected wait of a request that comes now.
    milliseconds expected_wait{0};
    /// Mean time that the target takes for a request of the route that was asked about.
    milliseconds service_time{0};
    /// Share of failures among the latest answers of the target, from 0 to 1.
    double failure_rate = 0;
};

} // namespace peridot
