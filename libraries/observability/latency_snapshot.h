#pragma once

#include "core/time.h"

#include <cstdint>
#include <vector>

namespace peridot {

/// A snapshot of the counts of a latency histogram.
struct latency_snapshot {
    /// Upper bound of each bin in seconds; the first bin is the underflow bin.
    std::vector<double> upper_bounds;
    /// Count per bin, followed by the count of durations above the last bound.
    std::vector<std::uint64_t> counts;
    /// Sum of all recorded durations.
    nanoseconds sum{0};
};

} // namespace peridot
