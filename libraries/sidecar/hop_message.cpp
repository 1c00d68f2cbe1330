#include "sidecar/hop_message.h"

#include "sidecar/member_json.h"

#include <boost/url/decode_view.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

namespace {

// A single header per direction keeps the overhead between nodes low.
constexpr std::string_view call_header = "Peridot-Call";
constexpr std::string_view state_header = "Peridot-State";
// Sent for callers that have a workspace: its name, and its priority if it has one.
constexpr std::string_view workspace_header = "Peridot-Workspace";
constexpr std::size_t call_field_count = 10;
// The rate limit follows as a further field if the sender knows of one.
constexpr std::size_t limited_call_field_count = call_field_count + 1;
constexpr double requests_per_unit = 0.001;
constexpr double max_rate_limit = 1e6;
constexpr std::size_t outcome_field = 0;
constexpr std::size_t code_field = 1;
constexpr std::size_t retry_after_field = 2;
constexpr std::size_t state_field_count = 10;
// The pace in percent follows as a further field if the target states one. Its mark distinguishes
// it from a field that a later version may add.
constexpr std::size_t paced_state_field_count = state_field_count + 1;
constexpr char pace_mark = 'p';
constexpr unsigned max_pace_percent = 10'000;
constexpr double percent = 100;
// The longest time that the platform's records can state.
constexpr milliseconds max_time{std::chrono::hours(24)};
constexpr unsigned status_refused = 503;
constexpr unsigned status_unknown = 502;

// First field of the state: the alternative of gate_answer that the message contains.
enum class outcome : unsigned { ran, target_refusal, refusal, unknown };

std::string encoded(std::string_view text) {
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::string decoded(std::string_view text) {
    auto const view = boost::urls::make_pct_string_view(text);
    if (!view) {
        return {};
    }
    std::string plain;
    for (char const letter : **view) {
        plain.push_back(letter);
    }
    return plain;
}

std::vector<std::string_view> split(std::string_view text) {
    std::vector<std::string_view> parts;
    for (;;) {
        auto const end = text.find(';');
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

template<typename Number>
std::optional<Number> parse_number(std::string_view text) {
    Number read = 0;
    auto const [end, failed] = std::from_chars(text.data(), text.data() + text.size(), read);
    if (failed != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return read;
}

std::optional<milliseconds> parse_time(std::string_view text) {
    auto const read = parse_number<std::uint64_t>(text);
    if (!read || *read > static_cast<std::uint64_t>(max_time.count())) {
        return std::nullopt;
    }
    return milliseconds(*read);
}

// Limits the time to the range that parse_time reads.
std::string to_text(milliseconds time) {
    return std::to_string(std::clamp(time, milliseconds(0), max_time).count());
}

std::string time_left_ms(boot_time at, boot_time now) {
    return to_text(std::chrono::duration_cast<milliseconds>(at - now));
}

struct encoded_answer {
    outcome kind = outcome::unknown;
    result_code code = result_code::ok;
    milliseconds retry_after{0};
    http_response message;
};

struct answer_writer {
    encoded_answer operator()(gate_ran& ran) const {
        return {outcome::ran, result_code::ok, {}, std::move(ran.answer)};
    }
    encoded_answer operator()(gate_target_refusal& refused) const {
        return {outcome::target_refusal, result_code::ok, {}, std::move(refused.answer)};
    }
    encoded_answer operator()(gate_refusal& refused) const {
        http_response message;
        message.status = status_refused;
        if (refused.actual_target) {
            message.body = encode_target(*refused.actual_target);
        }
        return {outcome::refusal, refused.reason, refused.retry_after, std::move(message)};
    }
    encoded_answer operator()(gate_unknown& unknown) const {
        http_response message;
        message.status = status_unknown;
        return {outcome::unknown, unknown.reason.code, {}, std::move(message)};
    }
    // Gates never produce this alternative; only the sending node detects that a member is
    // unreachable.
    encoded_answer operator()(gate_unreachable& unreachable) const {
        http_response message;
        message.status = status_refused;
        return {outcome::refusal, unreachable.reason.code, {}, std::move(message)};
    }
};

std::optional<outcome> read_outcome(std::vector<std::string_view> const& parts) {
    auto const read = parse_number<unsigned>(parts[outcome_field]);
    if (!read || *read > static_cast<unsigned>(outcome::unknown)) {
        return std::nullopt;
    }
    return static_cast<outcome>(*read);
}

result_code read_code(std::vector<std::string_view> const& parts) {
    auto const read =
        parts.size() > code_field ? parse_number<unsigned>(parts[code_field]) : std::nullopt;
    return read ? static_cast<result_code>(*read) : result_code::request_answer_mismatched;
}

milliseconds read_retry_after(std::vector<std::string_view> const& parts) {
    auto const read =
        parts.size() > retry_after_field ? parse_time(parts[retry_after_field]) : std::nullopt;
    return read.value_or(milliseconds(0));
}

std::optional<double> parse_pace(std::string_view text) {
    if (!text.starts_with(pace_mark)) {
        return std::nullopt;
    }
    auto const read = parse_number<unsigned>(text.substr(1));
    if (!read || *read == 0 || *read > max_pace_percent) {
        return std::nullopt;
    }
    return *read / percent;
}

// Returns no value if a field is missing or malformed: the outcome of the request does not depend
// on the state that is attached to it.
std::optional<hop_state> read_state(std::vector<std::string_view> const& parts) {
    bool const has_pace = parts.size() == paced_state_field_count;
    if (parts.size() != state_field_count && !has_pace) {
        return std::nullopt;
    }
    auto const pace = has_pace ? parse_pace(parts[state_field_count]) : std::nullopt;
    if (has_pace && !pace) {
        return std::nullopt;
    }
    auto const in_use = parse_number<unsigned>(parts[3]);
    auto const waiting = parse_number<unsigned>(parts[4]);
    auto const slots = parse_number<unsigned>(parts[5]);
    auto const expected_wait = parse_time(parts[6]);
    auto const service_time = parse_time(parts[7]);
    auto const failures = parse_number<unsigned>(parts[8]);
    auto const configuration = parse_number<std::uint64_t>(parts[9]);
    if (!in_use || !waiting || !slots || !expected_wait || !service_time || !failures ||
        !configuration) {
        return std::nullopt;
    }
    hop_state state;
    state.load = {*in_use,        *waiting,      *slots,
                  *expected_wait, *service_time, static_cast<double>(*failures) / percent};
    state.load.pace = pace;
    state.configuration = *configuration;
    return state;
}

std::string workspace_text(gate_call const& call) {
    auto text = encoded(call.workspace);
    if (call.workspace_priority) {
        text += ";" + std::to_string(*call.workspace_priority);
    }
    return text;
}

void read_workspace(http_request& request, gate_call& call) {
    auto const header = std::string(request.headers.value(workspace_header));
    auto const parts = split(header);
    call.workspace = decoded(parts.front());
    if (parts.size() > 1) {
        call.workspace_priority = parse_number<unsigned>(parts[1]);
    }
    request.headers.remove(workspace_header);
}

} // namespace

void write_hop_call(http_request& request, gate_call const& call, boot_time now) {
    std::string text = call.kind == request_kind::idempotent ? "1" : "0";
    text += ";" + std::to_string(call.priority);
    text += ";" + time_left_ms(call.soft_deadline, now);
    text += ";" + time_left_ms(call.deadline, now);
    text += ";" + time_left_ms(call.finish_by, now);
    text += ";" + encoded(call.target_id);
    text += ";" + encoded(call.calling_service);
    text += ";" + encoded(call.route);
    text += ";" + encoded(call.attempt_id);
    text += ";" + call.sender;
    if (call.rate_limit) {
        text += ";" + std::to_string(std::llround(std::min(*call.rate_limit, max_rate_limit) /
                                                  requests_per_unit));
    }
    request.headers.set(call_header, text);
    // The caller may have sent a field of this name.
    request.headers.remove(workspace_header);
    if (!call.workspace.empty()) {
        request.headers.set(workspace_header, workspace_text(call));
    }
}

std::optional<gate_call> extract_hop_call(http_request& request, boot_time now) {
    auto const header = std::string(request.headers.value(call_header));
    auto const parts = split(header);
    bool const has_limit = parts.size() == limited_call_field_count;
    if (parts.size() != call_field_count && !has_limit) {
        return std::nullopt;
    }
    auto const priority = parse_number<unsigned>(parts[1]);
    auto const soft_deadline = parse_time(parts[2]);
    auto const deadline = parse_time(parts[3]);
    auto const finish = parse_time(parts[4]);
    if (!priority || !soft_deadline || !deadline || !finish) {
        return std::nullopt;
    }
    gate_call call;
    call.kind = parts[0] == "1" ? request_kind::idempotent : request_kind::non_idempotent;
    call.priority = *priority;
    call.soft_deadline = now + *soft_deadline;
    call.deadline = now + *deadline;
    call.finish_by = now + *finish;
    call.target_id = decoded(parts[5]);
    call.calling_service = decoded(parts[6]);
    call.route = decoded(parts[7]);
    call.attempt_id = decoded(parts[8]);
    call.sender = parts[9];
    if (has_limit) {
        if (auto const limit = parse_number<std::uint64_t>(parts[10])) {
            call.rate_limit = static_cast<double>(*limit) * requests_per_unit;
        }
    }
    request.headers.remove(call_header);
    read_workspace(request, call);
    return call;
}

http_response write_hop_answer(gate_answer answer, hop_state const& state) {
    auto parts = std::visit(answer_writer{}, answer);
    auto const& load = state.load;
    auto const failure_percent = std::lround(std::clamp(load.failure_rate, 0.0, 1.0) * percent);
    std::string text = std::to_string(static_cast<unsigned>(parts.kind));
    text += ";" + std::to_string(static_cast<unsigned>(parts.code));
    text += ";" + to_text(parts.retry_after);
    text += ";" + std::to_string(load.in_use);
    text += ";" + std::to_string(load.waiting);
    text += ";" + std::to_string(load.slots);
    text += ";" + to_text(load.expected_wait);
    text += ";" + to_text(load.service_time);
    text += ";" + std::to_string(failure_percent);
    text += ";" + std::to_string(state.configuration);
    if (load.pace) {
        auto const pace_percent = std::clamp<double>(*load.pace * percent, 1, max_pace_percent);
        text += std::string(";") + pace_mark + std::to_string(std::lround(pace_percent));
    }
    parts.message.headers.set(state_header, text);
    return std::move(parts.message);
}

hop_answer extract_hop_answer(http_response answer) {
    auto const header = std::string(answer.headers.value(state_header));
    auto const parts = split(header);
    auto const kind = read_outcome(parts);
    if (header.empty() && answer.headers.value("Peridot-Outcome") == "not_run") {
        // The other node's server has refused the request before its gate decided on it.
        auto const code = answer.status == status_refused ? result_code::request_overloaded
                                                          : result_code::request_malformed;
        return {gate_refusal{code, {}}, std::nullopt};
    }
    if (!kind) {
        return {gate_unknown{{result_code::request_answer_mismatched,
                              "the response of another node has no readable outcome"}},
                std::nullopt};
    }
    answer.headers.remove(state_header);
    auto const state = read_state(parts);
    auto const code = read_code(parts);
    switch (*kind) {
    case outcome::ran:
        return {gate_ran{std::move(answer)}, state};
    case outcome::target_refusal:
        return {gate_target_refusal{std::move(answer)}, state};
    case outcome::refusal:
        return {gate_refusal{code, read_retry_after(parts), {}, decode_target(answer.body)}, state};
    case outcome::unknown:
        break;
    }
    return {gate_unknown{{code, "the other node reported an unknown outcome"}}, state};
}

} // namespace peridot
