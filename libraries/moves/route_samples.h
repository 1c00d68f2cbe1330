#pragma once

#include "moves/paired_sample.h"

#include <array>
#include <cstddef>

namespace peridot {

/// What one block of evidence adds to each test of a route, or of all routes together.
struct route_samples {
    /// Number of latency quantiles of the old version that are tested.
    static constexpr std::size_t quantile_count = 3;

    paired_sample failures;
    /// Slow calls for each quantile; empty while the route's edge is unknown.
    std::array<paired_sample, quantile_count> slow_calls;
};

/// Adds each sample of the right operand to the left.
route_samples& operator+=(route_samples& left, route_samples const& right);

} // namespace peridot
