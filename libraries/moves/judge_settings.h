#pragma once

#include "core/time.h"

#include <cstdint>

namespace peridot {

/// What a judge decides by.
struct judge_settings {
    /// Highest probability that one judge takes back an acceptable version in a whole move.
    double false_alarm_rate = 0.002;
    /// New versions may fail or be slow for this long after their first call, but not beyond the
    /// part of the move's time given by warm_up_divisor.
    seconds warm_up{30};
    int warm_up_divisor = 10;
    /// Calls of the new version at a step that allow the next one. A version that fails in 5 % of
    /// its calls is found within about 200.
    std::uint64_t calls_for_step = 300;
    /// Reports are on their way for about a second, so a step is held at least this long.
    seconds least_step_time{5};
    /// At this e-value no step is raised until the evidence has become clearer.
    double hold_threshold = 20;
};

} // namespace peridot
