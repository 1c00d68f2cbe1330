#include "routing/retry_decision.h"

#include <algorithm>

namespace peridot {

namespace {

/// Whether the failure is specific to the endpoint, so that another endpoint may succeed.
bool is_endpoint_specific(result_code code) {
    switch (code) {
    case result_code::request_overloaded:
    case result_code::request_draining:
    case result_code::request_connect_failed:
    case result_code::request_outcome_unknown:
    case result_code::request_answer_incomplete:
    case result_code::request_answer_mismatched:
    case result_code::request_misdirected:
    case result_code::request_not_ready:
        return true;
    default:
        return false;
    }
}

bool is_retry(failed_attempt const& attempt) {
    return attempt.attempt > 1;
}

bool allows_retry(failed_attempt const& attempt, idempotence kind) {
    if (!is_endpoint_specific(attempt.code)) {
        return false;
    }
    switch (attempt.outcome) {
    case attempt_outcome::not_run:
        return attempt.code != result_code::request_overloaded || !is_retry(attempt);
    case attempt_outcome::run:
        return false;
    case attempt_outcome::unknown:
        return kind == idempotence::idempotent && !is_retry(attempt);
    }
    return false;
}

/// Marks the answer as the last attempt, so that no upstream hop retries the request.
give_up give_up_after(failed_attempt const& attempt, retry_options const& options) {
    return {attempt.outcome, attempt.code, std::max(attempt.attempt, options.max_attempts)};
}

} // namespace

retry_decision decide_retry(failed_attempt const& attempt, idempotence kind, deadline const& end,
                            retry_budget& budget, retry_options const& options, steady_time now,
                            random_source& random) {
    if (!allows_retry(attempt, kind) || attempt.attempt >= options.max_attempts) {
        return give_up_after(attempt, options);
    }
    auto const delay = retry_backoff(attempt.attempt, options.backoff, random);
    if (time_left(end, now) < delay + options.min_time_left || !budget.try_take()) {
        return give_up_after(attempt, options);
    }
    return retry_elsewhere{delay, attempt.attempt + 1};
}

} // namespace peridot
