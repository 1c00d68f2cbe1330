#include "core/log.h"
#include "settings/sidecar_settings.h"
#include "sidecar/sidecar_node.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

constexpr int exit_settings_invalid = 2;
constexpr int exit_failed = 1;

} // namespace

int main(int argc, char** argv) {
    CLI::App arguments("The peridotford sidecar: routes the requests of one instance of a service "
                       "mesh, and guards the target beside it.");
    arguments.set_version_flag("--version", PERIDOT_VERSION);
    std::string settings_file;
    bool only_checks = false;
    arguments.add_option("--settings", settings_file, "JSON settings file")->required();
    arguments.add_flag("--check-settings", only_checks, "Check the settings file and exit");
    try {
        arguments.parse(argc, argv);
    } catch (CLI::ParseError const& wrong) {
        return arguments.exit(wrong) == 0 ? 0 : exit_settings_invalid;
    }
    auto const settings = peridot::load_sidecar_settings(settings_file);
    if (!peridot::is_ok(settings)) {
        std::cerr << describe(peridot::failure(settings)) << "\n";
        return exit_settings_invalid;
    }
    if (only_checks) {
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    peridot::log::configure(peridot::value(settings).instance, peridot::value(settings).log_level,
                            peridot::log::output::standard_output);
    auto const node = peridot::sidecar_node::create(peridot::value(settings));
    if (!peridot::is_ok(node)) {
        std::cerr << describe(peridot::failure(node)) << "\n";
        return exit_failed;
    }
    peridot::value(node)->run();
    return 0;
}
