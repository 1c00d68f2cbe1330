#include "core/log.h"
#include "http/http_server.h"
#include "platform_service.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>

int main(int argc, char** argv) {
    CLI::App arguments(
        "Stand-in for the platform: an in-memory table service and object store with faults "
        "that are configured with PUT /admin/faults.");
    arguments.set_version_flag("--version", PERIDOT_VERSION);
    peridot::socket_address address{"127.0.0.1", 0};
    arguments.add_option("--ip", address.ip, "IP address to listen on")->capture_default_str();
    arguments.add_option("--port", address.port, "Port to listen on; 0 selects a free port")
        ->capture_default_str();
    CLI11_PARSE(arguments, argc, argv);
    peridot::log::configure("platform-standin", peridot::log::level::info);

    boost::asio::io_context context;
    peridot::platform_service service(context);
    peridot::http_server server(context, [&](peridot::http_request request) {
        return service.respond(std::move(request));
    });
    auto const bound = server.listen(address);
    if (!peridot::is_ok(bound)) {
        std::cerr << describe(peridot::failure(bound)) << "\n";
        return 1;
    }
    std::cout << boost::json::serialize(boost::json::object{{"ip", peridot::value(bound).ip},
                                                            {"port", peridot::value(bound).port}})
              << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto const&, int) { context.stop(); });
    context.run();
    return 0;
}
