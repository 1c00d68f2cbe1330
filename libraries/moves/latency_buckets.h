#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace peridot {

/// The buckets of a coarse latency histogram: one below 0.5 ms, 34 up to 65.5 s whose edges
/// increase by a factor of the square root of 2, and one above.
struct latency_buckets {
    static constexpr std::size_t count = 36;
    using counts = std::array<std::uint64_t, count>;

    /// The index of the bucket that contains a latency.
    static std::size_t index(microseconds latency);

    /// The lower edge of a bucket; zero for the first one.
    static microseconds lower_edge(std::size_t bucket);
};

} // namespace peridot
