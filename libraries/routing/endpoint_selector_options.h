#pragma once

#include "core/time.h"

#include <cstdint>

namespace peridot {

/// Settings of endpoint selection and passive ejection.
struct endpoint_selector_options {
    /// Time in which the weight of a new endpoint rises from min_weight to 1.
    milliseconds slow_start{5000};
    double min_weight = 0.1;
    /// A reported pressure halves in this time, so that an endpoint nobody calls is tried again.
    milliseconds pressure_half_life{1000};
    /// Mean pressure of the own zone at which calls begin to go to other zones, and at which zones
    /// no longer matter.
    double spillover_start = 50.0;
    double spillover_end = 90.0;
    /// Failures in a row that eject an endpoint.
    std::uint32_t consecutive_failures = 5;
    /// Failure ratio that ejects, once the decayed count of attempts is large enough to judge.
    double failure_ratio = 0.5;
    double min_attempts = 20.0;
    milliseconds failure_window{10000};
    /// First ejection time; it doubles with each ejection up to the longest.
    milliseconds base_ejection_time{1000};
    milliseconds max_ejection_time{30000};
};

} // namespace peridot
