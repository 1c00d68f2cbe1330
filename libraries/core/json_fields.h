#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

/// The text under the key; empty if there is none. For records whose reader checks what it needs.
std::string string_field(boost::json::object const& object, std::string_view key);

/// The whole number under the key; zero if there is none or it does not fit.
std::uint64_t unsigned_field(boost::json::object const& object, std::string_view key);

/// The number under the key; zero if there is none.
double number_field(boost::json::object const& object, std::string_view key);

} // namespace peridot
