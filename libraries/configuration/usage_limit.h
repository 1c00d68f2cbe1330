#pragma once

#include <cstdint>

namespace peridot {

/// Limits of the calls of one workspace to one service, across the fleet.
struct usage_limit {
    double requests_per_second = 0;
    double burst = 0;
    std::uint32_t concurrency = 0;

    bool operator==(usage_limit const&) const = default;
};

} // namespace peridot
