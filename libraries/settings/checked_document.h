#pragma once

#include "settings/settings_problem.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <filesystem>
#include <string_view>
#include <variant>

namespace peridot {

class settings_schema;

/// Maximum size of a settings file in bytes.
inline constexpr std::size_t max_settings_bytes = std::size_t{1} << 20U;

/// Maximum nesting depth of objects and arrays in a settings file.
inline constexpr std::size_t max_settings_depth = 32;

/// A document that conforms to its schema, or the problem that was found.
using checked_document = std::variant<boost::json::value, settings_problem>;

/// Parses and validates a text. Problems refer to the file by the given name.
checked_document check_document(std::string_view text, std::string_view name,
                                settings_schema const& schema);

/// Reads, parses and validates a file.
checked_document read_checked_document(std::filesystem::path const& file,
                                       settings_schema const& schema);

} // namespace peridot
