#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

/// The string value of a field; empty if the field is absent or not a string. For records whose
/// required fields are validated by the caller.
std::string string_field(boost::json::object const& object, std::string_view key);

/// The unsigned integer value of a field; zero if the field is absent or not representable.
std::uint64_t unsigned_field(boost::json::object const& object, std::string_view key);

/// The number value of a field; zero if the field is absent or not a number.
double number_field(boost::json::object const& object, std::string_view key);

} // namespace peridot
