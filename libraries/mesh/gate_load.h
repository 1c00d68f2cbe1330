#pragma once

#include "core/time.h"

namespace peridot {

/// How busy a target is.
struct gate_load {
    unsigned in_use = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Expected wait of a request that comes now.
    milliseconds wait{0};
    /// Mean time that the target takes for a request.
    milliseconds service_time{0};
};

} // namespace peridot
