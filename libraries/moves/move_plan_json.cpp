#include "moves/move_plan_json.h"

#include "moves/default_ramp.h"

#include <boost/json.hpp>

#include <array>
#include <limits>
#include <optional>

namespace json = boost::json;

namespace peridot {

namespace {

constexpr std::size_t maximum_text_length = 16'384;

std::int64_t to_milliseconds(wall_time time) {
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

error malformed(std::string message) {
    return {result_code::move_malformed, std::move(message)};
}

std::string wrong_type_message(std::string_view key, std::string_view kind) {
    return "\"" + std::string(key) + "\" must be " + std::string(kind);
}

std::optional<std::string> text_at(json::object const& object, std::string_view key) {
    auto const* found = object.if_contains(key);
    if (found == nullptr || !found->is_string()) {
        return std::nullopt;
    }
    return std::string(found->get_string());
}

std::optional<std::int64_t> integer_at(json::object const& object, std::string_view key) {
    auto const* found = object.if_contains(key);
    if (found == nullptr || !found->is_int64()) {
        return std::nullopt;
    }
    return found->get_int64();
}

// Upper bound that keeps times within the range of the wall clock's nanoseconds.
constexpr std::int64_t latest_milliseconds = 4'102'444'800'000; // 2100-01-01

std::optional<wall_time> time_at(json::object const& object, std::string_view key) {
    auto const count = integer_at(object, key);
    if (!count || *count < 0 || *count > latest_milliseconds) {
        return std::nullopt;
    }
    return wall_time(milliseconds(*count));
}

std::optional<double> number_at(json::object const& object, std::string_view key) {
    auto const* found = object.if_contains(key);
    if (found == nullptr || !found->is_number()) {
        return std::nullopt;
    }
    return found->is_double()  ? found->get_double()
           : found->is_int64() ? static_cast<double>(found->get_int64())
                               : static_cast<double>(found->get_uint64());
}

result<std::vector<ramp_step>> read_ramp(json::value const& document) {
    if (!document.is_array()) {
        return malformed(wrong_type_message("ramp", "an array"));
    }
    std::vector<ramp_step> ramp;
    for (auto const& element : document.get_array()) {
        if (!element.is_object() || element.get_object().size() != 2) {
            return malformed("a step of the ramp must have \"share\" and \"earliest_ms\" only");
        }
        auto const share = number_at(element.get_object(), "share");
        auto const earliest = time_at(element.get_object(), "earliest_ms");
        if (!share || !earliest) {
            return malformed(
                "a step of the ramp must have a number \"share\" and a time \"earliest_ms\"");
        }
        ramp.push_back({*share, *earliest});
    }
    return ramp;
}

status check_keys(json::object const& object) {
    constexpr std::array<std::string_view, 8> known_keys = {
        "id", "service", "from", "to", "start_ms", "done_by_ms", "watch_ms", "ramp"};
    for (auto const& member : object) {
        if (std::find(known_keys.begin(), known_keys.end(), std::string_view(member.key())) ==
            known_keys.end()) {
            return malformed("unknown key \"" + std::string(member.key()) + "\"");
        }
    }
    return success();
}

status read_names(json::object const& object, move_plan& plan) {
    std::array<std::pair<std::string_view, std::string*>, 4> const fields = {
        {{"id", &plan.id}, {"service", &plan.service}, {"from", &plan.from}, {"to", &plan.to}}};
    for (auto const& [key, destination] : fields) {
        auto const text = text_at(object, key);
        if (!text) {
            return malformed(wrong_type_message(key, "a string"));
        }
        *destination = *text;
    }
    return success();
}

status read_times(json::object const& object, move_plan& plan) {
    auto const start = time_at(object, "start_ms");
    auto const done_by = time_at(object, "done_by_ms");
    auto const watch = integer_at(object, "watch_ms");
    if (!start || !done_by) {
        return malformed(
            wrong_type_message("start_ms\" and \"done_by_ms", "times in milliseconds"));
    }
    if (!watch) {
        return malformed(wrong_type_message("watch_ms", "an integer"));
    }
    if (*watch < 0 || *watch > latest_milliseconds) {
        return error{result_code::move_time_impossible, "the watch time is out of range"};
    }
    plan.start = *start;
    plan.done_by = *done_by;
    plan.watch = milliseconds(*watch);
    return success();
}

} // namespace

json::object to_json(move_plan const& plan) {
    json::array ramp;
    for (auto const& step : plan.ramp) {
        ramp.push_back(
            json::object{{"share", step.share}, {"earliest_ms", to_milliseconds(step.earliest)}});
    }
    return {{"id", plan.id},
            {"service", plan.service},
            {"from", plan.from},
            {"to", plan.to},
            {"start_ms", to_milliseconds(plan.start)},
            {"done_by_ms", to_milliseconds(plan.done_by)},
            {"watch_ms", plan.watch.count()},
            {"ramp", std::move(ramp)}};
}

result<move_plan> move_plan_from_json(json::value const& document) {
    if (!document.is_object()) {
        return malformed("a move must be a JSON object");
    }
    auto const& object = document.get_object();
    move_plan plan;
    for (auto const& outcome :
         {check_keys(object), read_names(object, plan), read_times(object, plan)}) {
        if (!is_ok(outcome)) {
            return failure(outcome);
        }
    }
    if (auto const* ramp = object.if_contains("ramp"); ramp != nullptr) {
        auto steps = read_ramp(*ramp);
        if (!is_ok(steps)) {
            return failure(steps);
        }
        plan.ramp = value(std::move(steps));
    } else {
        plan.ramp = default_ramp(plan.start, plan.done_by);
    }
    if (auto const outcome = validate(plan); !is_ok(outcome)) {
        return failure(outcome);
    }
    return plan;
}

std::string encode(move_plan const& plan) {
    return json::serialize(to_json(plan));
}

result<move_plan> decode_move_plan(std::string_view text) {
    if (text.size() > maximum_text_length) {
        return malformed("the text of a move is longer than 16 KiB");
    }
    json::error_code parse_error;
    auto const document = json::parse(text, parse_error);
    if (parse_error) {
        return malformed("the text of a move is not valid JSON: " + parse_error.message());
    }
    return move_plan_from_json(document);
}

} // namespace peridot
