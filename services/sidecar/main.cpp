#include "core/log.h"
#include "settings/service_arguments.h"
#include "settings/sidecar_settings.h"
#include "sidecar/sidecar_node.h"

#include <csignal>
#include <iostream>

int main(int argc, char** argv) {
    auto const parsed =
        peridot::parse_service_arguments("The peridotford sidecar: routes the requests of one "
                                         "instance of a service mesh, and controls "
                                         "admission to its target.",
                                         argc, argv);
    if (auto const* code = std::get_if<int>(&parsed)) {
        return *code;
    }
    auto const& arguments = std::get<peridot::service_arguments>(parsed);
    auto const settings = peridot::load_sidecar_settings(arguments.settings_file);
    if (!peridot::is_ok(settings)) {
        std::cerr << describe(peridot::failure(settings)) << "\n";
        return peridot::exit_codes::settings_invalid;
    }
    if (arguments.check_only) {
        return peridot::exit_codes::success;
    }
    std::signal(SIGPIPE, SIG_IGN);
    peridot::log::configure(peridot::value(settings).instance, peridot::value(settings).log_level,
                            peridot::log::output::standard_output);
    auto const node = peridot::sidecar_node::create(peridot::value(settings));
    if (!peridot::is_ok(node)) {
        std::cerr << describe(peridot::failure(node)) << "\n";
        return peridot::exit_codes::failed;
    }
    peridot::value(node)->run();
    return peridot::exit_codes::success;
}
