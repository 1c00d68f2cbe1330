#include "core/json_fields.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

template<typename Number>
Number numeric_field(boost::json::object const& object, std::string_view key) {
    auto const* field = object.if_contains(key);
    boost::system::error_code conversion_error;
    auto const number = field == nullptr ? Number{} : field->to_number<Number>(conversion_error);
    return conversion_error ? Number{} : number;
}

} // namespace

std::string string_field(boost::json::object const& object, std::string_view key) {
    auto const* field = object.if_contains(key);
    auto const* text = field == nullptr ? nullptr : field->if_string();
    return text == nullptr ? std::string{} : std::string(text->data(), text->size());
}

std::uint64_t unsigned_field(boost::json::object const& object, std::string_view key) {
    return numeric_field<std::uint64_t>(object, key);
}

double number_field(boost::json::object const& object, std::string_view key) {
    return numeric_field<double>(object, key);
}

} // namespace peridot
