#pragma once

#include "core/time.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace peridot {

/// Rate and depth of a token bucket.
struct bucket_bounds {
    /// Time in which one token comes; zero allows nothing.
    nanoseconds interval{0};
    double burst = 1.0;
};

/// Token bucket in one atomic word (generic cell rate algorithm). The bounds are arguments, so
/// they can change while workers take tokens. Internal to local_limiter.
class token_bucket {
public:
    /// Takes a token; otherwise the time until one is there.
    std::optional<nanoseconds> try_take(bucket_bounds const& bounds, steady_time now);

    /// Keeps the number of tokens while the bounds change, so that a larger share gives no tokens
    /// at once.
    void convert(bucket_bounds const& from, bucket_bounds const& to, steady_time now);

private:
    /// Time at which the bucket would be full again, as nanoseconds of the steady clock.
    std::atomic<std::int64_t> full_at{0};
};

} // namespace peridot
