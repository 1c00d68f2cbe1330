#include "sidecar/rollout_json.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

std::string_view phase_name(rollout_phase phase) {
    switch (phase) {
    case rollout_phase::running:
        return "running";
    case rollout_phase::complete:
        return "complete";
    case rollout_phase::rolled_back:
        return "rolled_back";
    }
    return "running";
}

std::uint64_t optional_number(json::object const& object, std::string_view key) {
    auto const* found = object.if_contains(key);
    return found == nullptr ? 0 : found->to_number<std::uint64_t>();
}

} // namespace

std::string encode_rollout(rollout const& current) {
    json::object text{{"service", current.service},
                      {"to", current.to},
                      {"from", current.from},
                      {"duration_ms", current.duration.count()},
                      {"order", current.order.number},
                      {"phase", phase_name(current.phase)},
                      {"step", current.step},
                      {"share", current.share},
                      {"started_ms", current.started.count()}};
    // Without eras, the row is the one of earlier releases.
    if (current.order.era != 0) {
        text["order_era"] = current.order.era;
    }
    if (current.ordered_at != current.order) {
        text["ordered_at"] = current.ordered_at.number;
        text["ordered_at_era"] = current.ordered_at.era;
    }
    if (current.started_era != 0) {
        text["started_era"] = current.started_era;
    }
    return json::serialize(text);
}

result<rollout> decode_rollout(std::string_view text) {
    error const malformed{result_code::platform_record_malformed, "a roll-out row is malformed"};
    boost::system::error_code unreadable;
    auto const parsed = json::parse(text, unreadable);
    auto const* object = unreadable ? nullptr : parsed.if_object();
    if (object == nullptr) {
        return malformed;
    }
    try {
        rollout current;
        current.service = object->at("service").as_string();
        current.to = object->at("to").as_string();
        current.from = object->at("from").as_string();
        current.duration = milliseconds(object->at("duration_ms").to_number<std::int64_t>());
        current.order = {optional_number(*object, "order_era"),
                         object->at("order").to_number<std::uint64_t>()};
        current.ordered_at = current.order;
        if (object->contains("ordered_at")) {
            current.ordered_at = {optional_number(*object, "ordered_at_era"),
                                  object->at("ordered_at").to_number<std::uint64_t>()};
        }
        current.started_era = optional_number(*object, "started_era");
        std::string_view const phase = object->at("phase").as_string();
        current.phase = phase == "complete"      ? rollout_phase::complete
                        : phase == "rolled_back" ? rollout_phase::rolled_back
                                                 : rollout_phase::running;
        current.step = object->at("step").to_number<unsigned>();
        current.share = object->at("share").to_number<double>();
        current.started = milliseconds(object->at("started_ms").to_number<std::int64_t>());
        return current;
    } catch (std::exception const&) {
        return malformed;
    }
}

} // namespace peridot
