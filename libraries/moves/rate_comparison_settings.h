#pragma once

#include "moves/rate_tolerance.h"

#include <array>
#include <cstddef>
#include <optional>

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
    /// A rate of the old version above this is never its usual one, however long it lasts, and the
    /// calls of a disturbance do not count for the baseline. Without a value they count, so that a
    /// new version is accepted that is no worse than the old one at its worst.
    std::optional<double> highest_usual_rate;
};

} // namespace peridot
