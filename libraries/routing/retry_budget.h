#pragma once

#include "core/random_source.h"
#include "core/time.h"

#include <memory>

namespace peridot {

/// Settings of a retry budget.
struct retry_budget_options {
    /// Retries per request. 0.1 keeps the load of a failing service at 1.1 times its traffic.
    double ratio = 0.1;
    /// Retries that can be saved up, and that a service has at its start.
    double reserve = 10.0;
};

/// Limits the retries of one service to a ratio of its requests. Shared by the workers; every
/// operation is lock-free.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options const& options = {});
    ~retry_budget();
    retry_budget(retry_budget const&) = delete;
    retry_budget& operator=(retry_budget const&) = delete;
    retry_budget(retry_budget&&) = delete;
    retry_budget& operator=(retry_budget&&) = delete;

    /// Counts a first attempt, which earns a part of a retry.
    void record_request();

    /// Takes one retry from the budget; false when there is none.
    bool try_take();

    /// Retries that the budget holds now.
    double balance() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/// Settings of the wait before a retry.
struct retry_backoff_options {
    milliseconds base_delay{2};
    milliseconds max_delay{100};
};

/// The wait before the given retry (1 is the first): uniform between zero and a bound that doubles
/// with each retry. Full jitter keeps callers that failed together from returning together.
nanoseconds retry_backoff(unsigned retry, retry_backoff_options const& options,
                          random_source& random);

} // namespace peridot
