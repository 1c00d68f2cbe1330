#include "json_fields.h"

#include <boost/json.hpp>

namespace peridot::json_fields {

namespace json = boost::json;

json::value field(json::object const& object, std::string_view key) {
    auto const* found = object.if_contains(key);
    return found == nullptr ? json::value(nullptr) : *found;
}

std::string text(json::object const& object, std::string_view key) {
    auto const* found = object.if_contains(key);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

std::int64_t number(json::object const& object, std::string_view key) {
    boost::system::error_code failed;
    auto const* found = object.if_contains(key);
    auto const count = found == nullptr ? 0 : found->to_number<std::int64_t>(failed);
    return failed ? 0 : count;
}

json::object nested(json::object const& object, std::string_view key) {
    auto const* found = object.if_contains(key);
    return found != nullptr && found->is_object() ? found->as_object() : json::object();
}

json::array objects(json::object const& object, std::string_view key) {
    json::array list;
    auto const* found = object.if_contains(key);
    if (found != nullptr && found->is_array()) {
        for (auto const& element : found->as_array()) {
            if (element.is_object()) {
                list.push_back(element);
            }
        }
    }
    return list;
}

} // namespace peridot::json_fields
