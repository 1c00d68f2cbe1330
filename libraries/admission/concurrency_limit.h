#pragma once

#include "core/time.h"

#include <cstddef>
#include <memory>

namespace peridot {

/// Options of the concurrency limit.
struct concurrency_limit_options {
    /// Slots of the target; the upper bound of the limit.
    std::size_t slots = 12;
    /// Lower bound of the limit as a fraction of the slots, so that a permanently slow target still
    /// receives requests.
    double minimum_slot_fraction = 0.25;
    /// Factor over the baseline up to which a higher mean service time is treated as noise.
    double tolerance = 2.0;
    /// Completions required to adapt the limit; smaller windows are merged with the next ones.
    std::size_t minimum_completions = 10;
    /// Relative growth of the baseline per window, so that the baseline follows a lasting increase
    /// in latency: with windows of 100 ms a tenfold increase takes about two minutes.
    double baseline_growth = 0.002;
};

/// Adaptive limit on concurrent requests, derived from observed service times. It decreases in
/// proportion while the mean service time exceeds the tolerated multiple of the baseline, and
/// increases by one slot per window otherwise.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_options const& options);
    ~concurrency_limit();
    concurrency_limit(concurrency_limit const&) = delete;
    concurrency_limit& operator=(concurrency_limit const&) = delete;
    concurrency_limit(concurrency_limit&&) = delete;
    concurrency_limit& operator=(concurrency_limit&&) = delete;

    /// Records the number of completions in a window and their mean service time.
    void record_window(std::size_t completions, nanoseconds mean);

    /// Maximum number of requests that may run concurrently.
    std::size_t limit() const;

    /// Mean service time in the last evaluated window; zero before the first.
    nanoseconds mean_service_time() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
