#include "sidecar/member_json.h"

#include "core/json_fields.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

target_state state_of(std::string_view text) {
    if (text == "ready") {
        return target_state::ready;
    }
    return text == "draining" ? target_state::draining : target_state::gone;
}

} // namespace

std::string encode_member(member const& record) {
    json::object const text{{"instance", record.instance},
                            {"ip", record.ip},
                            {"availability_zone", record.availability_zone},
                            {"processor_share", record.processor_share},
                            {"target", record.target.id},
                            {"service", record.target.service},
                            {"version", record.target.version},
                            {"slots", record.target.slots},
                            {"state", name(record.target.state)},
                            {"started_ms", record.target.started_ms}};
    return json::serialize(text);
}

result<member> decode_member(std::string_view text) {
    boost::system::error_code unreadable;
    auto const parsed = json::parse(text, unreadable);
    auto const* object = unreadable ? nullptr : parsed.if_object();
    if (object == nullptr) {
        return error{result_code::platform_record_malformed, "a member record is no object"};
    }
    member record;
    record.instance = text_in(*object, "instance");
    record.ip = text_in(*object, "ip");
    record.availability_zone = text_in(*object, "availability_zone");
    record.processor_share = number_in(*object, "processor_share");
    record.target.id = text_in(*object, "target");
    record.target.service = text_in(*object, "service");
    record.target.version = text_in(*object, "version");
    auto const slots = whole_in(*object, "slots");
    record.target.state = state_of(text_in(*object, "state"));
    record.target.started_ms = static_cast<std::int64_t>(whole_in(*object, "started_ms"));
    if (record.instance.empty() || record.ip.empty() || record.target.id.empty() || slots == 0) {
        return error{result_code::platform_record_malformed,
                     "a member record lacks its instance, address, target or slots"};
    }
    record.target.slots = static_cast<unsigned>(slots);
    return record;
}

} // namespace peridot
