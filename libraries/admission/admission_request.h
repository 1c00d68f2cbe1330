#pragma once

#include "core/request_class.h"
#include "core/time.h"

#include <cstdint>

namespace peridot {

/// Properties of a request that admission control depends on.
struct admission_request {
    request_class priority = request_class::interactive;
    /// Deadline of the request on this node's clock.
    steady_time deadline;
    steady_time arrived;
};

/// Proof of an acquired slot. The holder must release it exactly once.
struct admission_permit {
    steady_time admitted;
    /// Time spent in the queue.
    nanoseconds waited{0};
};

} // namespace peridot
