#pragma once

#include "core/time.h"

#include <string>

namespace peridot {

/// How the target did with one request that reached it.
struct target_result {
    std::string route;
    /// Version of the target that ran the request.
    std::string version;
    bool is_failure = false;
    microseconds latency{0};
    /// Use of the target's slots when the request came, 0 to 100.
    unsigned pressure = 0;
};

} // namespace peridot
