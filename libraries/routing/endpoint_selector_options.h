#pragma once

#include "core/time.h"

#include <cstdint>

namespace peridot {

/// Options of endpoint selection and passive outlier ejection.
struct endpoint_selector_options {
    /// Time over which the weight of a new endpoint rises from min_weight to 1.
    milliseconds slow_start{5000};
    double min_weight = 0.1;
    /// Half-life of a reported pressure. The decay makes an endpoint that receives no calls, and
    /// therefore reports no new pressure, eligible again.
    milliseconds pressure_half_life{1000};
    /// Mean pressure of the local zone at which calls begin to spill over to other zones, and at
    /// which zones are no longer considered.
    double spillover_start = 50.0;
    double spillover_end = 90.0;
    /// Number of consecutive failures that ejects an endpoint.
    std::uint32_t consecutive_failures = 5;
    /// Failure ratio that ejects an endpoint once its decayed count of attempts reaches
    /// min_attempts.
    double failure_ratio = 0.5;
    double min_attempts = 20.0;
    milliseconds failure_window{10000};
    /// Duration of the first ejection. It doubles with each ejection, up to max_ejection_time.
    milliseconds base_ejection_time{1000};
    milliseconds max_ejection_time{30000};
};

} // namespace peridot
