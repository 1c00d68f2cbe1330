#pragma once

#include "settings/settings_problem.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <filesystem>
#include <string_view>
#include <variant>

namespace peridot {

class settings_schema;

/// A settings file has at most this many bytes.
inline constexpr std::size_t max_settings_bytes = std::size_t{1} << 20U;

/// Objects and arrays of a settings file are nested at most this deep.
inline constexpr std::size_t max_settings_depth = 32;

/// A document that conforms to its schema, or the reason why there is none.
using checked_document = std::variant<boost::json::value, settings_problem>;

/// Parses and validates a text. The name stands for the file in a problem.
checked_document check_document(std::string_view text, std::string_view name,
                                settings_schema const& schema);

/// Reads a file, parses it and validates it.
checked_document read_checked_document(std::filesystem::path const& file,
                                       settings_schema const& schema);

} // namespace peridot
