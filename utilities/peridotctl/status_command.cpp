#include "status_command.h"

#include "command_context.h"
#include "configuration/configuration_head.h"
#include "fleet_query.h"
#include "platform_session.h"
#include "text_table.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <iostream>

namespace peridot {

namespace {

namespace json = boost::json;

// Returns whether a node responded and holds the accepted version or a later one.
bool is_current(json::object const& report, std::uint64_t accepted) {
    boost::system::error_code failed;
    auto const* version = report.if_contains("version");
    return version != nullptr && version->to_number<std::uint64_t>(failed) >= accepted;
}

void report_status(command_context& context) {
    auto const session = context.open_session();
    if (!session) {
        return;
    }
    auto const head_row = session->run(session->table.read("head", session->deadline()));
    if (!is_ok(head_row)) {
        context.fail(failure(head_row));
        return;
    }
    auto const head = parse_head(value(head_row).value);
    std::uint64_t const accepted = is_ok(head) ? value(head).version : 0;
    auto fleet = query_fleet(*session);
    if (!is_ok(fleet)) {
        context.fail(failure(fleet));
        return;
    }
    std::size_t current = 0;
    std::size_t unreachable = 0;
    for (auto& entry : value(fleet)) {
        auto& report = entry.as_object();
        report.erase("members");
        current += is_current(report, accepted) ? 1 : 0;
        unreachable += report.at("reachable").as_bool() ? 0 : 1;
    }
    auto const total = value(fleet).size();
    if (context.is_json()) {
        std::cout << json::serialize(json::object{{"accepted_version", accepted},
                                                  {"nodes", total},
                                                  {"current", current},
                                                  {"unreachable", unreachable},
                                                  {"fleet", value(fleet)}})
                  << "\n";
        return;
    }
    std::cout << "accepted version " << accepted << ": " << current << " of " << total
              << " nodes hold it, " << unreachable << " unreachable\n";
    print_table(std::cout,
                {"instance", "availability_zone", "version", "confirmation_age_ms", "is_ready",
                 "is_draining", "reachable"},
                value(fleet));
}

} // namespace

void add_status_command(CLI::App& root, command_context& context) {
    root.add_subcommand("status", "Show the version that each node holds")->callback([&context] {
        report_status(context);
    });
}

} // namespace peridot
