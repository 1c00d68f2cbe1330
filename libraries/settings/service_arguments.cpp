#include "settings/service_arguments.h"

#include <CLI/CLI.hpp>

namespace peridot {

std::variant<service_arguments, int> parse_service_arguments(std::string const& description,
                                                             int argc, char** argv) {
    CLI::App program(description);
    program.set_version_flag("--version", PERIDOT_VERSION);
    service_arguments read;
    program.add_option("--settings", read.settings_file, "JSON settings file")->required();
    program.add_flag("--check-settings", read.only_checks, "Check the settings file and exit");
    try {
        program.parse(argc, argv);
    } catch (CLI::ParseError const& wrong) {
        return program.exit(wrong) == 0 ? exit_codes::done : exit_codes::settings_invalid;
    }
    return read;
}

} // namespace peridot
