#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace peridot::log {

/// Severity of a log line, from least to most severe.
enum class level : std::uint8_t { debug, info, warning, error };

/// The value of a log field.
using field_value = std::variant<std::string, std::int64_t, double, bool>;
using field = std::pair<std::string_view, field_value>;

/// Destination of the log lines.
enum class output : std::uint8_t { standard_error, standard_output };

/// Limit per event for lines to standard output. Further lines are suppressed and counted; the next
/// line written for the event carries the count in the field "left_out".
inline constexpr std::uint32_t max_lines_per_second = 40;

/// Sets up logging with one JSON object per line. Call once, from main(). Writing to standard
/// output never blocks: lines that a slow reader cannot accept are dropped and counted.
void configure(std::string_view program, level minimum,
               output destination = output::standard_error);

/// Writes one line with the event name and its fields. Thread-safe.
void write(level severity, std::string_view event, std::initializer_list<field> fields = {});

} // namespace peridot::log
