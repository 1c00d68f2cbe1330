#pragma once

#include "moves/rate_tolerance.h"

#include <array>
#include <cstddef>

namespace peridot {

/// The tolerances of a rate comparison and the increases that it tests for.
struct rate_comparison_settings {
    static constexpr std::size_t alternative_count = 5;

    /// Tolerance relative to the old version's rate at the same time.
    rate_tolerance paired;
    /// Tolerance relative to the old version's highest earlier rate, for when it no longer has
    /// enough calls.
    rate_tolerance baseline;
    /// Increases above the tolerance, as fractions of the difference between the tolerance and 1.
    std::array<double, alternative_count> increases{};
};

} // namespace peridot
