#pragma once

#include <string>
#include <variant>

namespace peridot {

/// Exit codes of the long-running programs, as listed in docs/OPERATIONS.md.
namespace exit_codes {
inline constexpr int success = 0;
inline constexpr int failed = 1;
inline constexpr int settings_invalid = 2;
} // namespace exit_codes

/// The command line of a long-running program.
struct service_arguments {
    std::string settings_file;
    /// Whether to validate the settings and exit.
    bool check_only = false;
};

/// Parses the command line. Returns an exit code if the program must exit, such as after --help or
/// an invalid argument.
std::variant<service_arguments, int> parse_service_arguments(std::string const& description,
                                                             int argc, char** argv);

} // namespace peridot
