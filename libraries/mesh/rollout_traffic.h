#pragma once

#include <cstdint>

namespace peridot {

/// The traffic of a service since the start of a roll-out.
struct rollout_traffic {
    /// Requests per second to all versions.
    double requests_per_second = 0;
    std::uint64_t sent_to_new_version = 0;
    std::uint64_t failures_of_new_version = 0;
};

} // namespace peridot
