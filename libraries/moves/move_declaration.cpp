#include "moves/move_declaration.h"

#include "moves/move_plan_json.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

constexpr std::int64_t latest_milliseconds = 4'102'444'800'000; // 2100-01-01

error malformed(std::string message) {
    return {result_code::move_malformed, std::move(message)};
}

result<move_pause> read_pause(json::value const& document, std::uint64_t version) {
    auto const* fields = document.if_object();
    auto const* paused = fields != nullptr ? fields->if_contains("paused") : nullptr;
    auto const* step = fields != nullptr ? fields->if_contains("held_step") : nullptr;
    if (paused == nullptr || step == nullptr || !paused->is_bool() || !step->is_int64() ||
        step->get_int64() < 0 ||
        step->get_int64() >= static_cast<std::int64_t>(move_plan::maximum_steps)) {
        return malformed("\"pause\" must have a boolean \"paused\" and a valid step \"held_step\"");
    }
    return move_pause{version, paused->get_bool(), static_cast<std::uint32_t>(step->get_int64())};
}

} // namespace

std::string encode(move_declaration const& declaration) {
    auto document = to_json(declaration.plan);
    if (declaration.pause) {
        document["pause"] = json::object{{"paused", declaration.pause->paused},
                                         {"held_step", declaration.pause->held_step}};
    }
    if (declaration.taken_back_at) {
        document["taken_back_ms"] = declaration.taken_back_at->count();
    }
    return json::serialize(document);
}

result<move_declaration> decode_move_declaration(std::string_view text, std::uint64_t version) {
    boost::system::error_code parse_error;
    auto document = json::parse(text, parse_error);
    if (parse_error || !document.is_object()) {
        return malformed("a move must be a JSON object");
    }
    auto& fields = document.get_object();
    move_declaration declaration;
    if (auto const* pause = fields.if_contains("pause")) {
        auto const read = read_pause(*pause, version);
        if (!is_ok(read)) {
            return failure(read);
        }
        declaration.pause = value(read);
        fields.erase("pause");
    }
    if (auto const* taken_back = fields.if_contains("taken_back_ms")) {
        if (!taken_back->is_int64() || taken_back->get_int64() < 0 ||
            taken_back->get_int64() > latest_milliseconds) {
            return malformed("\"taken_back_ms\" must be a time in milliseconds");
        }
        declaration.taken_back_at = milliseconds(taken_back->get_int64());
        fields.erase("taken_back_ms");
    }
    auto plan = move_plan_from_json(document);
    if (!is_ok(plan)) {
        return failure(plan);
    }
    declaration.plan = value(std::move(plan));
    return declaration;
}

} // namespace peridot
