#include "core/log.h"
#include "node/node.h"
#include "settings/node_settings.h"
#include "settings/service_arguments.h"

#include <boost/json.hpp>

#include <iostream>

int main(int argc, char** argv) {
    auto const parsed = peridot::parse_service_arguments(
        "The peridotford node: proxy of one target instance, and its control agent.", argc, argv);
    if (auto const* code = std::get_if<int>(&parsed)) {
        return *code;
    }
    auto const& arguments = std::get<peridot::service_arguments>(parsed);
    auto const settings = peridot::load_node_settings(arguments.settings_file);
    if (!peridot::is_ok(settings)) {
        std::cerr << describe(peridot::failure(settings)) << "\n";
        return peridot::exit_codes::settings_invalid;
    }
    if (arguments.check_only) {
        return peridot::exit_codes::success;
    }
    peridot::log::configure(peridot::value(settings).instance, peridot::value(settings).log_level);
    auto const node = peridot::node::create(peridot::value(settings));
    if (!peridot::is_ok(node)) {
        std::cerr << describe(peridot::failure(node)) << "\n";
        return peridot::exit_codes::failed;
    }
    std::cout << boost::json::serialize(peridot::value(node)->addresses()) << std::endl;
    return peridot::value(node)->run() ? peridot::exit_codes::success : peridot::exit_codes::failed;
}
