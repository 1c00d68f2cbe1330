#pragma once

#include <cstdint>
#include <variant>

namespace peridot {

/// Arrivals at a constant rate with equal intervals.
struct constant_arrivals {
    double per_second = 1.0;
};

/// Independent arrivals with exponentially distributed intervals; the seed determines the sequence.
struct poisson_arrivals {
    double per_second = 1.0;
    std::uint64_t seed = 0;
};

/// The arrival process of the requests of a load run.
using arrival_process = std::variant<constant_arrivals, poisson_arrivals>;

} // namespace peridot
