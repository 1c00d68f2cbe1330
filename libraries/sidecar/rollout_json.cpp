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

} // namespace

std::string encode_rollout(rollout const& current) {
    json::object const text{{"service", current.service},
                            {"to", current.to},
                            {"from", current.from},
                            {"duration_ms", current.duration.count()},
                            {"order", current.order},
                            {"phase", phase_name(current.phase)},
                            {"step", current.step},
                            {"share", current.share},
                            {"started_ms", current.started.count()}};
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
        current.order = object->at("order").to_number<std::uint64_t>();
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
