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

/// Whether executing a request twice has the same effect as executing it once.
enum class idempotence : std::uint8_t { idempotent, non_idempotent };

/// The result of one failed attempt of a request.
struct failed_attempt {
    attempt_outcome outcome = attempt_outcome::unknown;
    /// The answer's Peridot-Code, or the failure that this node detected itself.
    result_code code = result_code::request_outcome_unknown;
    /// The greater of the Peridot-Attempt that was sent and the one that the answer returned; 1 is
    /// a first attempt. Calls made on behalf of a request inherit its attempt number, and answers
    /// return it.
    unsigned attempt = 1;
};

/// Retry the request on another endpoint after the delay, with this Peridot-Attempt.
struct retry_elsewhere {
    nanoseconds delay{0};
    unsigned attempt = 2;
};

/// Do not retry; answer the caller with this outcome and code.
struct give_up {
    attempt_outcome outcome = attempt_outcome::unknown;
    result_code code = result_code::request_outcome_unknown;
    /// Peridot-Attempt for the answer. It is the highest allowed number, so that no upstream hop
    /// retries the request.
    unsigned attempt = 3;
};

using retry_decision = std::variant<retry_elsewhere, give_up>;

/// Options of decide_retry.
struct retry_options {
    /// Maximum number of attempts of one request, counted across all hops.
    unsigned max_attempts = 3;
    /// Minimum time before the deadline that must remain after the backoff delay.
    milliseconds min_time_left{2};
    retry_backoff_options backoff;
};

/// Decides whether to retry after a failed attempt, and takes one retry from the budget if so.
///
/// After the outcome unknown, only the first attempt of an idempotent request is retried. After
/// not_run any request is retried, but only once if it was refused because of overload. If one hop
/// stops retrying, this is final for the whole call chain: if every hop retried independently, 11
/// hops with a ratio of 0.1 would multiply the load by 2.9.
retry_decision decide_retry(failed_attempt const& attempt, idempotence kind, deadline const& end,
                            retry_budget& budget, retry_options const& options, steady_time now,
                            random_source& random);

} // namespace peridot
