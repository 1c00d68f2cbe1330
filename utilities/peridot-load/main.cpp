#include "load_generator.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <iostream>

namespace {

constexpr int exit_mismatched = 1;
constexpr int exit_usage = 2;

} // namespace

int main(int argc, char** argv) {
    CLI::App arguments(
        "Open-loop load generator for peridotford: latency is measured from the intended start, "
        "and each response of a target stand-in is checked against the id of its request.");
    arguments.set_version_flag("--version", PERIDOT_VERSION);
    peridot::load_options options;
    std::vector<std::string> nodes;
    double rate = 100;
    std::int64_t duration_s = 10;
    std::int64_t timeout_ms = 10'000;
    std::uint64_t seed = 1;
    std::string arrivals = "poisson";
    std::string output = "text";
    arguments.add_option("--node", nodes, "Address of a node (ip:port); repeatable")->required();
    arguments.add_option("--credential", options.credential,
                         "Bearer credential <workspace>.<secret>");
    arguments.add_option("--method", options.method, "HTTP method")->capture_default_str();
    arguments.add_option("--path", options.path, "Request path; /<service>/<path> for a node")
        ->capture_default_str();
    arguments.add_option("--body", options.body, "Body of each request");
    arguments.add_option("--rate", rate, "Requests per second")
        ->check(CLI::Range(0.001, 1e6))
        ->capture_default_str();
    arguments.add_option("--duration", duration_s, "Seconds")
        ->check(CLI::Range(1, 3600))
        ->capture_default_str();
    arguments.add_option("--timeout-ms", timeout_ms, "Timeout of a request in milliseconds")
        ->capture_default_str();
    arguments
        .add_option("--connections", options.connections_per_node,
                    "Maximum number of connections per node")
        ->capture_default_str();
    arguments.add_option("--arrivals", arrivals, "Arrival process: constant or poisson")
        ->check(CLI::IsMember({"constant", "poisson"}))
        ->capture_default_str();
    arguments.add_option("--seed", seed, "Seed of the poisson arrival process")
        ->capture_default_str();
    arguments.add_option("--output", output, "Output format: text or json")
        ->check(CLI::IsMember({"text", "json"}))
        ->capture_default_str();
    try {
        arguments.parse(argc, argv);
    } catch (CLI::ParseError const& parse_error) {
        return arguments.exit(parse_error) == 0 ? 0 : exit_usage;
    }
    for (auto const& node : nodes) {
        auto const address = peridot::parse_socket_address(node);
        if (!peridot::is_ok(address)) {
            std::cerr << "peridot-load: " << describe(peridot::failure(address)) << "\n";
            return exit_usage;
        }
        options.nodes.push_back(peridot::value(address));
    }
    options.duration = peridot::seconds(duration_s);
    options.timeout = peridot::milliseconds(timeout_ms);
    if (arrivals == "poisson") {
        options.arrivals = peridot::poisson_arrivals{rate, seed};
    } else {
        options.arrivals = peridot::constant_arrivals{rate};
    }
    auto const report = peridot::run_load(options);
    if (output == "json") {
        std::cout << boost::json::serialize(report.to_json()) << "\n";
    } else {
        std::cout << report.to_text();
    }
    return report.mismatched_answers() == 0 ? 0 : exit_mismatched;
}
