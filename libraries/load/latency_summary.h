#pragma once

#include "core/time.h"

#include <cstdint>

namespace peridot {

/// Latency quantiles of a load run. Each is at most 1 % or 1 us above the true value; a quantile
/// beyond 100 s is reported as the maximum latency.
struct latency_summary {
    std::uint64_t count = 0;
    nanoseconds p50{0};
    nanoseconds p90{0};
    nanoseconds p99{0};
    nanoseconds p999{0};
    nanoseconds max{0};
};

} // namespace peridot
