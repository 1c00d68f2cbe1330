#include "limits/token_bucket.h"

#include <algorithm>
#include <limits>

namespace peridot {

namespace {

std::int64_t ticks(steady_time time) {
    return std::chrono::duration_cast<nanoseconds>(time.time_since_epoch()).count();
}

// The time of a whole burst and the clock add up within 64 bits.
constexpr std::int64_t longest_refill = std::numeric_limits<std::int64_t>::max() / 4;

// The interval of a very small share is shortened to one whose burst can be counted.
std::int64_t interval_ticks(bucket_bounds const& bounds) {
    auto const longest = static_cast<double>(longest_refill) / std::max(1.0, bounds.burst);
    return std::min(bounds.interval.count(), static_cast<std::int64_t>(longest));
}

double tokens(bucket_bounds const& bounds, std::int64_t debt) {
    return bounds.burst - static_cast<double>(debt) / static_cast<double>(interval_ticks(bounds));
}

} // namespace

std::optional<nanoseconds> token_bucket::try_take(bucket_bounds const& bounds, steady_time now) {
    if (bounds.interval <= nanoseconds::zero()) {
        return seconds(1);
    }
    auto const time = ticks(now);
    auto const interval = interval_ticks(bounds);
    auto const tolerance =
        static_cast<std::int64_t>((bounds.burst - 1.0) * static_cast<double>(interval));
    auto held = this->full_at.load(std::memory_order_relaxed);
    while (true) {
        auto const start = std::max(held, time);
        if (start - time > tolerance) {
            return nanoseconds(start - time - tolerance);
        }
        if (this->full_at.compare_exchange_weak(held, start + interval,
                                                std::memory_order_relaxed)) {
            return std::nullopt;
        }
    }
}

void token_bucket::convert(bucket_bounds const& from, bucket_bounds const& to, steady_time now) {
    if (from.interval <= nanoseconds::zero() || to.interval <= nanoseconds::zero()) {
        return;
    }
    auto const time = ticks(now);
    auto held = this->full_at.load(std::memory_order_relaxed);
    while (true) {
        double const kept = tokens(from, std::max<std::int64_t>(0, held - time));
        double const missing = std::max(0.0, to.burst - kept);
        auto const next =
            time + static_cast<std::int64_t>(missing * static_cast<double>(interval_ticks(to)));
        if (this->full_at.compare_exchange_weak(held, next, std::memory_order_relaxed)) {
            return;
        }
    }
}

} // namespace peridot
