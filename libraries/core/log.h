#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace peridot::log {

/// How much an operator has to care.
enum class level : std::uint8_t { debug, info, warning, error };

/// A named value of a log line.
using field_value = std::variant<std::string, std::int64_t, double, bool>;
using field = std::pair<std::string_view, field_value>;

/// Where the lines go.
enum class output : std::uint8_t { standard_error, standard_output };

/// Lines of one event that go to standard output in a second; further ones are counted, and the
/// next line of the event that is written tells how many were left out.
inline constexpr std::uint32_t max_lines_per_second = 40;

/// Sets up logging, one JSON object a line. Called once, from main. Lines to standard output never
/// block: what a reader does not take in time is dropped and counted.
void configure(std::string_view program, level minimum,
               output destination = output::standard_error);

/// Writes one line: the event's name and its fields. Safe from any thread.
void write(level severity, std::string_view event, std::initializer_list<field> fields = {});

} // namespace peridot::log
