#pragma once

#include "core/random_source.h"
#include "core/result_code.h"
#include "core/time.h"
#include "routing/attempt_outcome.h"
#include "routing/deadline.h"
#include "routing/retry_budget.h"

#include <cstdint>
#include <variant>

namespace peridot {

/// Whether running a request twice has the same effect as running it once.
enum class idempotence : std::uint8_t { idempotent, non_idempotent };

/// How one attempt of a request ended.
struct failed_attempt {
    attempt_outcome outcome = attempt_outcome::unknown;
    /// The answer's Peridot-Code, or what this node saw itself.
    result_code code = result_code::request_outcome_unknown;
    /// The larger of Peridot-Attempt as sent and as the answer echoes it; 1 is a first attempt.
    /// Calls that a request causes inherit its number, and answers carry it back.
    unsigned attempt = 1;
};

/// Send the request to another endpoint after the delay, with this Peridot-Attempt.
struct retry_elsewhere {
    nanoseconds delay{0};
    unsigned attempt = 2;
};

/// Answer the caller with this outcome and code.
struct give_up {
    attempt_outcome outcome = attempt_outcome::unknown;
    result_code code = result_code::request_outcome_unknown;
    /// Peridot-Attempt for the answer: the last allowed one, so that no hop upstream retries.
    unsigned attempt = 3;
};

using retry_decision = std::variant<retry_elsewhere, give_up>;

/// Settings of the decision.
struct retry_options {
    /// Attempts of one request, counted over all hops.
    unsigned max_attempts = 3;
    /// A retry needs at least this much time after its delay.
    milliseconds min_time_left{2};
    retry_backoff_options backoff;
};

/// Decides after a failed attempt; takes from the budget when it decides to retry.
/// After unknown, only a first attempt of an idempotent request is retried. After not_run any
/// request is, but a refusal for overload only once. What one hop gives up is final for the whole
/// call chain: with retries at every hop, 11 hops at a ratio of 0.1 multiply the load by 2.9.
retry_decision decide_retry(failed_attempt const& attempt, idempotence kind, deadline const& end,
                            retry_budget& budget, retry_options const& options, steady_time now,
                            random_source& random);

} // namespace peridot
