#include "proxy/attempt_reader.h"

#include "proxy/header_names.h"
#include "proxy/refusal.h"

#include <algorithm>
#include <charconv>

namespace peridot {

namespace {

constexpr unsigned first_server_error = 500;

std::optional<unsigned> read_number(header_list const& headers, std::string_view field) {
    auto const text = headers.value(field);
    unsigned number = 0;
    auto const [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || failed != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

attempt_result make_failure(error const& reason, attempt_outcome outcome, unsigned attempt) {
    attempt_result result;
    result.answer = make_refusal(reason, name(outcome));
    result.failed = failed_attempt{outcome, reason.code, attempt};
    result.seen.verdict = endpoint_verdict::failure;
    return result;
}

// Overload and lack of time say nothing about a fault. A draining endpoint counts as failing, so
// that it gets no more work even before its announcement arrives.
endpoint_verdict verdict_of(result_code code) {
    bool const is_neutral = code == result_code::request_overloaded ||
                            code == result_code::request_deadline_exceeded ||
                            code == result_code::request_cancelled;
    return is_neutral ? endpoint_verdict::neutral : endpoint_verdict::failure;
}

} // namespace

attempt_result read_attempt_result(connection_pool::exchange_result outcome,
                                   std::string_view request_id, unsigned attempt) {
    if (auto const* failed = std::get_if<exchange_failure>(&outcome)) {
        bool const is_sent = failed->progress == exchange_progress::sent;
        return make_failure(failed->reason,
                            is_sent ? attempt_outcome::unknown : attempt_outcome::not_run, attempt);
    }
    auto& answer = std::get<http_response>(outcome);
    if (answer.headers.value(header_names::request_id) != request_id) {
        return make_failure(
            {result_code::request_answer_mismatched, "the answer belongs to another request"},
            attempt_outcome::unknown, attempt);
    }
    auto const stated = parse_attempt_outcome(answer.headers.value(header_names::outcome));
    attempt_result result;
    result.seen.pressure = read_number(answer.headers, header_names::pressure);
    if (stated == attempt_outcome::run) {
        bool const is_error = answer.status >= first_server_error;
        result.seen.verdict = is_error ? endpoint_verdict::failure : endpoint_verdict::success;
        result.answer = std::move(answer);
        return result;
    }
    auto const code = static_cast<result_code>(
        read_number(answer.headers, header_names::code)
            .value_or(static_cast<unsigned>(result_code::request_outcome_unknown)));
    auto const echoed = read_number(answer.headers, header_names::attempt).value_or(attempt);
    // An answer without a readable outcome proves nothing, so it counts as unknown.
    result.failed =
        failed_attempt{stated.value_or(attempt_outcome::unknown), code, std::max(attempt, echoed)};
    result.seen.verdict = verdict_of(code);
    result.answer = std::move(answer);
    return result;
}

} // namespace peridot
