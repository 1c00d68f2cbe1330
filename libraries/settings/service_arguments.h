#pragma once

#include <string>
#include <variant>

namespace peridot {

/// Exit codes of the long-running programs; docs/OPERATIONS.md lists them.
namespace exit_codes {
inline constexpr int done = 0;
inline constexpr int failed = 1;
inline constexpr int settings_invalid = 2;
} // namespace exit_codes

/// The command line of a long-running program.
struct service_arguments {
    std::string settings_file;
    /// Check the settings and exit.
    bool only_checks = false;
};

/// Reads the command line. A number is the exit code of a program that has nothing more to do, as
/// after --help or a wrong argument.
std::variant<service_arguments, int> parse_service_arguments(std::string const& description,
                                                             int argc, char** argv);

} // namespace peridot
