#include "move_queries.h"

#include "command_context.h"
#include "fleet_query.h"
#include "json_fields.h"
#include "move_lookup.h"
#include "move_times.h"
#include "platform_session.h"
#include "text_table.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace peridot {

namespace {

namespace json = boost::json;
using json_fields::field;
using json_fields::nested;
using json_fields::number;
using json_fields::objects;
using json_fields::text;

constexpr std::size_t page_size = 500;

// Reports of the nodes, and the session that fetched them.
struct fleet_reports {
    std::unique_ptr<platform_session> session;
    json::array reports;
};

// Queries a path of the given nodes, or of all nodes with a member row if none are given.
result<fleet_reports> query_reports(command_context& context, std::vector<std::string> const& nodes,
                                    std::string const& path) {
    fleet_reports collected;
    if (nodes.empty()) {
        collected.session = context.open_session();
        if (!collected.session) {
            return error{result_code::usage, "either the platform's address or --node is required"};
        }
        auto fleet = query_fleet(*collected.session, path);
        if (!is_ok(fleet)) {
            return failure(fleet);
        }
        collected.reports = value(std::move(fleet));
        return collected;
    }
    std::vector<socket_address> addresses;
    for (auto const& node : nodes) {
        auto const address = parse_socket_address(node);
        if (!is_ok(address)) {
            return error{result_code::usage, failure(address).message};
        }
        addresses.push_back(value(address));
    }
    collected.session = std::make_unique<platform_session>(addresses.front());
    collected.reports = query_nodes(*collected.session, addresses, path);
    return collected;
}

std::string percentage(double share) {
    std::ostringstream line;
    line << std::setprecision(3) << 100 * share << " %";
    return line.str();
}

std::string describe_next_step(json::object const& move) {
    auto const next = nested(move, "next_step");
    if (next.empty()) {
        return "-";
    }
    boost::system::error_code failed;
    return percentage(field(next, "share").to_number<double>(failed)) + " at " +
           format_time(number(next, "earliest_ms"));
}

json::object status_row(json::object const& report, json::object const& move) {
    auto const evidence = nested(move, "evidence");
    auto const old_counts = nested(evidence, "old");
    auto const new_counts = nested(evidence, "new");
    return {{"availability_zone", field(report, "availability_zone")},
            {"instance", field(report, "instance")},
            {"share", field(move, "share")},
            {"step", field(move, "step")},
            {"phase", field(move, "phase")},
            {"paused", field(move, "paused")},
            {"suspected", field(move, "suspected")},
            {"old_calls", number(old_counts, "calls")},
            {"old_failures", number(old_counts, "failures")},
            {"new_calls", number(new_counts, "calls")},
            {"new_failures", number(new_counts, "failures")},
            {"next_step", describe_next_step(move)},
            {"forecast", field(move, "forecast")}};
}

// Replaces shares by percentages for output as a table; JSON output has the plain numbers.
json::array format_shares(json::array rows, std::vector<std::string> const& keys) {
    for (auto& row : rows) {
        for (auto const& key : keys) {
            boost::system::error_code failed;
            double const share = field(row.as_object(), key).to_number<double>(failed);
            row.as_object()[key] = percentage(share);
        }
    }
    return rows;
}

json::array status_rows(json::array const& reports, std::string const& id) {
    json::array rows;
    for (auto const& report : reports) {
        for (auto const& move : objects(report.as_object(), "moves")) {
            if (text(move.as_object(), "id") == id) {
                rows.push_back(status_row(report.as_object(), move.as_object()));
            }
        }
    }
    return rows;
}

json::array sum_by_zone(json::array const& rows) {
    constexpr std::array<std::string_view, 4> counts = {"old_calls", "old_failures", "new_calls",
                                                        "new_failures"};
    std::map<std::string, json::object> zones;
    for (auto const& entry : rows) {
        auto const& row = entry.as_object();
        auto const name = text(row, "availability_zone");
        auto& zone = zones[name];
        boost::system::error_code failed;
        double const share = field(row, "share").to_number<double>(failed);
        double const least = zone.contains("least_share") ? zone["least_share"].as_double() : share;
        double const most = zone.contains("most_share") ? zone["most_share"].as_double() : share;
        zone["availability_zone"] = name;
        zone["nodes"] = number(zone, "nodes") + 1;
        zone["least_share"] = std::min(least, share);
        zone["most_share"] = std::max(most, share);
        for (auto const& key : counts) {
            zone[key] = number(zone, key) + number(row, key);
        }
    }
    json::array list;
    for (auto const& [name, zone] : zones) {
        list.push_back(zone);
    }
    return list;
}

void print_recorded(json::object const& row) {
    auto const decision = nested(row, "decision");
    std::cout << text(row, "state") << ": " << text(decision, "outcome") << ", "
              << text(decision, "reason") << "; recorded by " << text(decision, "recorded_by")
              << " at " << format_time(number(decision, "recorded_ms")) << ", the service is at "
              << text(row, "target_version") << "\n";
}

struct merged_decision {
    json::object entry;
    std::set<std::string> instances;
};

// Several nodes record the same decision. Merges these records into the one with the most figures
// and collects the instances that recorded it.
std::vector<merged_decision> merge_decisions(json::array const& reports) {
    std::map<std::pair<std::string, std::string>, merged_decision> by_reason;
    for (auto const& report : reports) {
        for (auto const& item : objects(report.as_object(), "decisions")) {
            auto entry = item.as_object();
            entry["instance"] = field(report.as_object(), "instance");
            auto const step = json::serialize(field(nested(entry, "figures"), "step"));
            auto& merged = by_reason[{text(entry, "kind") + step, text(entry, "reason")}];
            merged.instances.insert(text(report.as_object(), "instance"));
            if (nested(entry, "figures").size() > nested(merged.entry, "figures").size() ||
                merged.entry.empty()) {
                merged.entry = std::move(entry);
            }
        }
    }
    std::vector<merged_decision> list;
    for (auto& [key, merged] : by_reason) {
        list.push_back(std::move(merged));
    }
    std::sort(list.begin(), list.end(), [](auto const& left, auto const& right) {
        return number(left.entry, "time_ms") < number(right.entry, "time_ms");
    });
    return list;
}

} // namespace

void list_moves(command_context& context) {
    auto const session = context.open_session();
    if (!session) {
        return;
    }
    json::array entries;
    std::string after;
    for (bool has_more = true; has_more;) {
        auto const page =
            session->run(session->table.list("moves/", after, page_size, session->deadline()));
        if (!is_ok(page)) {
            context.fail(failure(page));
            return;
        }
        for (auto const& row : value(page).rows) {
            after = row.key;
            boost::system::error_code failed;
            auto const document = json::parse(row.value, failed);
            auto const content =
                document.is_object() ? nested(document.as_object(), "content") : json::object();
            auto const plan = nested(content, "plan");
            entries.push_back({{"id", field(plan, "id")},
                               {"service", field(content, "service")},
                               {"from", field(plan, "from")},
                               {"to", field(plan, "to")},
                               {"done_by", format_time(number(plan, "done_by_ms"))},
                               {"state", field(content, "state")},
                               {"outcome", field(nested(content, "decision"), "outcome")}});
        }
        has_more = value(page).has_more && !value(page).rows.empty();
    }
    if (context.is_json()) {
        std::cout << json::serialize(entries) << "\n";
        return;
    }
    print_table(std::cout, {"id", "service", "from", "to", "done_by", "state", "outcome"}, entries);
}

void report_move_status(command_context& context, std::string const& id,
                        std::vector<std::string> const& nodes) {
    auto const fleet = query_reports(context, nodes, "/moves");
    if (!is_ok(fleet)) {
        context.fail(failure(fleet));
        return;
    }
    auto const rows = status_rows(value(fleet).reports, id);
    auto const zones = sum_by_zone(rows);
    json::object row;
    if (nodes.empty()) {
        auto const read = read_move_row(*value(fleet).session, id);
        if (!is_ok(read)) {
            context.fail(failure(read));
            return;
        }
        row = value(read);
    } else if (rows.empty()) {
        context.fail({result_code::move_not_found, "none of the queried nodes holds move " + id});
        return;
    }
    if (context.is_json()) {
        std::cout << json::serialize(json::object{
                         {"id", id}, {"recorded", row}, {"zones", zones}, {"nodes", rows}})
                  << "\n";
        return;
    }
    if (text(row, "state") == "finished") {
        print_recorded(row);
    }
    if (!rows.empty()) {
        print_table(std::cout,
                    {"availability_zone", "nodes", "least_share", "most_share", "old_calls",
                     "old_failures", "new_calls", "new_failures"},
                    format_shares(zones, {"least_share", "most_share"}));
        std::cout << "\n";
        print_table(std::cout,
                    {"availability_zone", "instance", "share", "step", "phase", "paused",
                     "suspected", "new_calls", "new_failures", "next_step", "forecast"},
                    format_shares(rows, {"share"}));
    }
}

void explain_move(command_context& context, std::string const& id,
                  std::vector<std::string> const& nodes) {
    auto const fleet = query_reports(context, nodes, "/decisions?subject=moves/" + id);
    if (!is_ok(fleet)) {
        context.fail(failure(fleet));
        return;
    }
    json::object row;
    if (nodes.empty()) {
        auto const read = read_move_row(*value(fleet).session, id);
        if (!is_ok(read)) {
            context.fail(failure(read));
            return;
        }
        row = value(read);
    }
    auto const decisions = merge_decisions(value(fleet).reports);
    json::array list;
    for (auto const& merged : decisions) {
        auto entry = merged.entry;
        entry["nodes"] = merged.instances.size();
        list.push_back(std::move(entry));
    }
    if (context.is_json()) {
        std::cout << json::serialize(
                         json::object{{"id", id}, {"recorded", row}, {"decisions", list}})
                  << "\n";
        return;
    }
    if (text(row, "state") == "finished") {
        print_recorded(row);
    }
    for (auto const& entry : list) {
        auto const& merged = entry.as_object();
        std::cout << format_time(number(merged, "time_ms")) << "  " << text(merged, "kind") << ": "
                  << text(merged, "reason") << " (" << number(merged, "nodes") << " nodes)\n";
        auto const figures = nested(merged, "figures");
        if (!figures.empty()) {
            std::cout << "    " << json::serialize(figures) << "\n";
        }
    }
}

} // namespace peridot
