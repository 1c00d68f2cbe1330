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
constexpr std::size_t call_field_count = 10;
// The rate limit follows as a further field if the sender knows of one.
constexpr std::size_t limited_call_field_count = call_field_count + 1;
constexpr double requests_per_unit = 0.001;
constexpr double max_rate_limit = 1e6;
constexpr std::size_t state_field_count = 10;
constexpr double percent = 100;
constexpr std::uint64_t max_milliseconds = 86'400'000;
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

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t read = 0;
    auto const [end, failed] = std::from_chars(text.data(), text.data() + text.size(), read);
    if (failed != std::errc{} || end != text.data() + text.size() ||
        read > max_milliseconds * 1000) {
        return std::nullopt;
    }
    return read;
}

std::string time_left_ms(boot_time at, boot_time now) {
    auto const time = std::chrono::duration_cast<milliseconds>(at - now);
    return std::to_string(std::max<std::int64_t>(0, time.count()));
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
}

std::optional<gate_call> extract_hop_call(http_request& request, boot_time now) {
    auto const header = std::string(request.headers.value(call_header));
    auto const parts = split(header);
    bool const has_limit = parts.size() == limited_call_field_count;
    if (parts.size() != call_field_count && !has_limit) {
        return std::nullopt;
    }
    auto const priority = parse_number(parts[1]);
    auto const target = parse_number(parts[2]);
    auto const deadline = parse_number(parts[3]);
    auto const finish = parse_number(parts[4]);
    if (!priority || !target || !deadline || !finish) {
        return std::nullopt;
    }
    gate_call call;
    call.kind = parts[0] == "1" ? request_kind::idempotent : request_kind::non_idempotent;
    call.priority = static_cast<unsigned>(*priority);
    call.soft_deadline = now + milliseconds(*target);
    call.deadline = now + milliseconds(*deadline);
    call.finish_by = now + milliseconds(*finish);
    call.target_id = decoded(parts[5]);
    call.calling_service = decoded(parts[6]);
    call.route = decoded(parts[7]);
    call.attempt_id = decoded(parts[8]);
    call.sender = parts[9];
    if (has_limit) {
        if (auto const limit = parse_number(parts[10])) {
            call.rate_limit = static_cast<double>(*limit) * requests_per_unit;
        }
    }
    request.headers.remove(call_header);
    return call;
}

http_response write_hop_answer(gate_answer answer, hop_state const& state) {
    auto parts = std::visit(answer_writer{}, answer);
    auto const& load = state.load;
    std::string text = std::to_string(static_cast<unsigned>(parts.kind));
    for (std::uint64_t const field :
         {static_cast<std::uint64_t>(parts.code),
          static_cast<std::uint64_t>(parts.retry_after.count()), std::uint64_t{load.in_use},
          std::uint64_t{load.waiting}, std::uint64_t{load.slots},
          static_cast<std::uint64_t>(load.expected_wait.count()),
          static_cast<std::uint64_t>(load.service_time.count()),
          static_cast<std::uint64_t>(std::lround(load.failure_rate * percent)),
          state.configuration}) {
        text += ";" + std::to_string(field);
    }
    parts.message.headers.set(state_header, text);
    return std::move(parts.message);
}

hop_answer extract_hop_answer(http_response answer) {
    auto const header = std::string(answer.headers.value(state_header));
    std::vector<std::uint64_t> fields;
    for (auto const part : split(header)) {
        if (auto const read = parse_number(part)) {
            fields.push_back(*read);
        }
    }
    if (fields.size() != state_field_count) {
        return {gate_unknown{{result_code::request_answer_mismatched,
                              "the response of another node has a missing or malformed state"}},
                std::nullopt};
    }
    answer.headers.remove(state_header);
    hop_state state;
    state.load = {static_cast<unsigned>(fields[3]), static_cast<unsigned>(fields[4]),
                  static_cast<unsigned>(fields[5]), milliseconds(fields[6]),
                  milliseconds(fields[7]),          static_cast<double>(fields[8]) / percent};
    state.configuration = fields[9];
    auto const code = static_cast<result_code>(fields[1]);
    switch (static_cast<outcome>(fields[0])) {
    case outcome::ran:
        return {gate_ran{std::move(answer)}, state};
    case outcome::target_refusal:
        return {gate_target_refusal{std::move(answer)}, state};
    case outcome::refusal:
        return {gate_refusal{code, milliseconds(fields[2]), decode_target(answer.body)}, state};
    case outcome::unknown:
        break;
    }
    return {gate_unknown{{code, "the other node reported an unknown outcome"}}, state};
}

} // namespace peridot
