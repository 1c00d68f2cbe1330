#pragma once

#include "core/time.h"

#include <cstddef>
#include <memory>

namespace peridot {

/// Settings of the concurrency limit.
struct concurrency_limit_options {
    /// Slots of the target, the largest limit.
    std::size_t slots = 12;
    /// Part of the slots that always stays in use, so that a target that is slow for good still
    /// works.
    double minimum_slot_fraction = 0.25;
    /// Latency above the baseline that is taken as noise.
    double tolerance = 2.0;
    /// Completions that make a window worth judging.
    std::size_t minimum_completions = 10;
    /// Growth of the baseline per window, so that a lasting change becomes normal: with windows of
    /// 100 ms a tenfold change takes about two minutes.
    double baseline_growth = 0.002;
};

/// Limit on concurrent requests from observed service times. It falls in proportion when the mean
/// leaves the baseline and rises by one slot a window when it returns.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_options const& options);
    ~concurrency_limit();
    concurrency_limit(concurrency_limit const&) = delete;
    concurrency_limit& operator=(concurrency_limit const&) = delete;
    concurrency_limit(concurrency_limit&&) = delete;
    concurrency_limit& operator=(concurrency_limit&&) = delete;

    /// Takes the completions of a window and their mean service time.
    void record_window(std::size_t completions, nanoseconds mean);

    /// Requests that may run at a time.
    std::size_t limit() const;

    /// Mean service time of the last window; zero before the first.
    nanoseconds mean_service_time() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
