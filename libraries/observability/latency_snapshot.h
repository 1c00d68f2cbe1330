#pragma once

#include "core/time.h"

#include <cstdint>
#include <vector>

namespace peridot {

/// The counts of a latency histogram at one moment.
struct latency_snapshot {
    /// Upper edge of each bin in seconds; the first bin holds everything below it.
    std::vector<double> upper_bounds;
    /// Counts of the bins, and after them the count of what lies above the last edge.
    std::vector<std::uint64_t> counts;
    /// Sum of all durations.
    nanoseconds sum{0};
};

} // namespace peridot
