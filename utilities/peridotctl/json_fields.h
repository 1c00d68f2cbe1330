#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace peridot::json_fields {

/// Read fields of responses that may come from other versions of the programs: a field that is
/// absent or has an unexpected type reads as null, empty or zero.
boost::json::value field(boost::json::object const& object, std::string_view key);
std::string text(boost::json::object const& object, std::string_view key);
std::int64_t number(boost::json::object const& object, std::string_view key);
boost::json::object nested(boost::json::object const& object, std::string_view key);

/// Returns the elements of an array field that are objects.
boost::json::array objects(boost::json::object const& object, std::string_view key);

} // namespace peridot::json_fields
