#pragma once

#include "core/time.h"

#include <string>

namespace peridot {

/// Result of one request that reached the target.
struct target_result {
    std::string route;
    /// Version of the target that ran the request.
    std::string version;
    bool is_failure = false;
    microseconds latency{0};
    /// Percentage of the target's slots in use when the request arrived.
    unsigned pressure = 0;
};

} // namespace peridot
