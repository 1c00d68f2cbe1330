#pragma once

#include "core/time.h"
#include "limits/limit_quota.h"

#include <cstdint>

namespace peridot {

/// What an entry node asks of a divider for one limit, and the share it holds meanwhile.
struct limit_demand {
    limit_key key = 0;
    double rate = 0.0;
    std::uint32_t concurrency = 0;
    /// Weight of the node when demand exceeds the limit.
    std::uint32_t weight = 1;
    /// Newest lease that the node applied; 0 if none.
    std::uint64_t held_lease = 0;
    double held_rate = 0.0;
    std::uint32_t held_concurrency = 0;
    milliseconds held_time_left{0};
};

/// A part of a limit, leased to one entry node.
struct limit_share {
    limit_key key = 0;
    /// Grows with each lease of a divider.
    std::uint64_t lease = 0;
    double rate = 0.0;
    double burst = 0.0;
    std::uint32_t concurrency = 0;
    milliseconds duration{0};
};

} // namespace peridot
