#pragma once

#include "core/random_source.h"
#include "core/time.h"

#include <memory>

namespace peridot {

/// Options of a retry budget.
struct retry_budget_options {
    /// Retries allowed per request. 0.1 limits the load on a failing service to 1.1 times its
    /// regular traffic.
    double ratio = 0.1;
    /// Maximum number of retries that accumulate; also the initial balance.
    double capacity = 10.0;
};

/// Limits the retries of one service to a ratio of its requests. The budget is shared by all
/// workers, and every operation is lock-free.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options const& options = {});
    ~retry_budget();
    retry_budget(retry_budget const&) = delete;
    retry_budget& operator=(retry_budget const&) = delete;
    retry_budget(retry_budget&&) = delete;
    retry_budget& operator=(retry_budget&&) = delete;

    /// Counts a first attempt, which adds a fraction of a retry to the budget.
    void record_request();

    /// Takes one retry from the budget. Returns false if fewer than the given number of retries
    /// would remain.
    bool try_take(double remaining = 0);

    /// Returns the number of retries currently available.
    double balance() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/// Options of the backoff before a retry.
struct retry_backoff_options {
    milliseconds base_delay{2};
    milliseconds max_delay{100};
};

/// Returns the delay before the given retry, where 1 is the first. The delay is uniform between
/// zero and a bound that doubles with each retry. Full jitter prevents callers that failed at the
/// same time from retrying at the same time.
nanoseconds retry_backoff(unsigned retry, retry_backoff_options const& options,
                          random_source& random);

} // namespace peridot
