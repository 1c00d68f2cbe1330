#include "sidecar/member_json.h"

#include "core/json_fields.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

target_state state_of(std::string_view text) {
    if (text == "ready") {
        return target_state::ready;
    }
    if (text == "unreachable") {
        return target_state::unreachable;
    }
    return text == "draining" ? target_state::draining : target_state::gone;
}

json::object fields_of(target_record const& target) {
    return {{"target", target.id},         {"service", target.service},
            {"version", target.version},   {"slots", target.slots},
            {"state", name(target.state)}, {"started_ms", target.started_ms}};
}

bool is_ip_address(std::string const& text) {
    boost::system::error_code malformed;
    boost::asio::ip::make_address(text, malformed);
    return !malformed;
}

// Returns no value if the id or the slots are missing or out of range.
std::optional<target_record> target_in(json::object const& fields) {
    target_record target;
    target.id = string_field(fields, "target");
    target.service = string_field(fields, "service");
    target.version = string_field(fields, "version");
    auto const slots = unsigned_field(fields, "slots");
    target.slots = slots > max_target_slots ? 0 : static_cast<unsigned>(slots);
    target.state = state_of(string_field(fields, "state"));
    target.started_ms = static_cast<std::int64_t>(unsigned_field(fields, "started_ms"));
    if (target.id.empty() || target.slots == 0) {
        return std::nullopt;
    }
    return target;
}

std::optional<json::object> parse_object(std::string_view text) {
    boost::system::error_code unreadable;
    auto parsed = json::parse(text, unreadable);
    if (unreadable || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.get_object());
}

} // namespace

std::string encode_member(member const& record) {
    json::object text{{"instance", record.instance},
                      {"ip", record.ip},
                      {"availability_zone", record.availability_zone},
                      {"processor_share", record.processor_share}};
    for (auto const& field : fields_of(record.target)) {
        text.emplace(field.key(), field.value());
    }
    return json::serialize(text);
}

result<member> decode_member(std::string_view text) {
    auto const object = parse_object(text);
    if (!object) {
        return error{result_code::platform_record_malformed,
                     "a member record is not a JSON object"};
    }
    member record;
    record.instance = string_field(*object, "instance");
    record.ip = string_field(*object, "ip");
    record.availability_zone = string_field(*object, "availability_zone");
    record.processor_share = number_field(*object, "processor_share");
    auto target = target_in(*object);
    if (record.instance.empty() || !is_ip_address(record.ip) || !target) {
        return error{result_code::platform_record_malformed,
                     "a member record has no valid instance, address, target or slots"};
    }
    record.target = std::move(*target);
    return record;
}

std::string encode_target(target_record const& target) {
    return json::serialize(fields_of(target));
}

std::optional<target_record> decode_target(std::string_view text) {
    auto const object = parse_object(text);
    return object ? target_in(*object) : std::nullopt;
}

} // namespace peridot
