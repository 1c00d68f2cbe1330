#include "settings/service_arguments.h"

#include <CLI/CLI.hpp>

namespace peridot {

std::variant<service_arguments, int> parse_service_arguments(std::string const& description,
                                                             int argc, char** argv) {
    CLI::App program(description);
    program.set_version_flag("--version", PERIDOT_VERSION);
    service_arguments arguments;
    program.add_option("--settings", arguments.settings_file, "JSON settings file")->required();
    program.add_flag("--check-settings", arguments.check_only, "Check the settings file and exit");
    try {
        program.parse(argc, argv);
    } catch (CLI::ParseError const& parse_error) {
        return program.exit(parse_error) == 0 ? exit_codes::success : exit_codes::settings_invalid;
    }
    return arguments;
}

} // namespace peridot
