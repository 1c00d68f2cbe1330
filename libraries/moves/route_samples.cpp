#include "moves/route_samples.h"

namespace peridot {

route_samples& operator+=(route_samples& left, route_samples const& right) {
    left.failures += right.failures;
    for (std::size_t index = 0; index < route_samples::quantile_count; ++index) {
        left.slow_calls[index] += right.slow_calls[index];
    }
    return left;
}

} // namespace peridot
