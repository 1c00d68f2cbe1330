#include "core/json_fields.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

template<typename Number>
Number converted(boost::json::object const& object, std::string_view key) {
    auto const* found = object.if_contains(key);
    boost::system::error_code unfit;
    auto const number = found == nullptr ? Number{} : found->to_number<Number>(unfit);
    return unfit ? Number{} : number;
}

} // namespace

std::string string_field(boost::json::object const& object, std::string_view key) {
    auto const* found = object.if_contains(key);
    auto const* text = found == nullptr ? nullptr : found->if_string();
    return text == nullptr ? std::string{} : std::string(text->data(), text->size());
}

std::uint64_t unsigned_field(boost::json::object const& object, std::string_view key) {
    return converted<std::uint64_t>(object, key);
}

double number_field(boost::json::object const& object, std::string_view key) {
    return converted<double>(object, key);
}

} // namespace peridot
