#include "announcer.h"
#include "core/log.h"
#include "http/connection_pool.h"
#include "http/http_server.h"
#include "target_service.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>

int main(int argc, char** argv) {
    CLI::App arguments(
        "Stand-in for a target, with faults that are configured with PUT /admin/behaviour.");
    arguments.set_version_flag("--version", PERIDOT_VERSION);
    std::string settings_file;
    arguments.add_option("--settings", settings_file, "JSON settings file")->required();
    CLI11_PARSE(arguments, argc, argv);
    auto const loaded = peridot::load_target_settings(settings_file);
    if (!peridot::is_ok(loaded)) {
        std::cerr << describe(peridot::failure(loaded)) << "\n";
        return 2;
    }
    auto const& settings = peridot::value(loaded);
    peridot::log::configure("target-standin", settings.log_level);

    boost::asio::io_context context;
    peridot::connection_pool connections(context);
    peridot::target_service service(context, settings);
    peridot::http_server server(context, [&](peridot::http_request request) {
        return service.respond(std::move(request));
    });
    auto const bound = server.listen(settings.listen);
    if (!peridot::is_ok(bound)) {
        std::cerr << describe(peridot::failure(bound)) << "\n";
        return 1;
    }
    std::cout << boost::json::serialize(boost::json::object{{"ip", peridot::value(bound).ip},
                                                            {"port", peridot::value(bound).port}})
              << std::endl;
    boost::asio::co_spawn(context, announce(settings, peridot::value(bound), service, connections),
                          boost::asio::detached);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto const&, int) { context.stop(); });
    context.run();
    return 0;
}
