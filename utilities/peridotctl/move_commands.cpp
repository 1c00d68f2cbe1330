#include "move_commands.h"

#include "command_context.h"
#include "edit_acceptance.h"
#include "fleet_query.h"
#include "json_fields.h"
#include "move_lookup.h"
#include "move_queries.h"
#include "move_times.h"
#include "moves/default_ramp.h"
#include "platform_session.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>

namespace peridot {

namespace {

namespace json = boost::json;

// By default the new version is judged after the agreed time for the move's duration divided by
// this number.
constexpr int watch_divisor = 5;

struct start_options {
    std::string service;
    std::string to;
    std::string done_by;
    std::string start = "+0s";
    std::string id;
    std::string ramp;
    std::string watch;
};

// Appends the time to make the ids of a service's moves unique. The service name is truncated so
// that the id does not exceed the maximum length.
std::string make_id(std::string const& service, wall_time now) {
    auto const count = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    auto const suffix = "-" + std::to_string(count);
    return service.substr(0, move_plan::maximum_id_length - suffix.size()) + suffix;
}

result<move_plan> make_plan(start_options const& options, std::string const& from, wall_time now) {
    auto const start = parse_time(options.start, now);
    auto const done_by = parse_time(options.done_by, now);
    for (auto const* parsed : {&start, &done_by}) {
        if (!is_ok(*parsed)) {
            return failure(*parsed);
        }
    }
    move_plan plan;
    plan.id = options.id.empty() ? make_id(options.service, now) : options.id;
    plan.service = options.service;
    plan.from = from;
    plan.to = options.to;
    plan.start = std::chrono::time_point_cast<milliseconds>(value(start));
    plan.done_by = std::chrono::time_point_cast<milliseconds>(value(done_by));
    plan.ramp = default_ramp(plan.start, plan.done_by);
    plan.watch =
        std::chrono::duration_cast<milliseconds>(plan.done_by - plan.start) / watch_divisor;
    if (!options.ramp.empty()) {
        auto const ramp = parse_ramp(options.ramp, plan.start, plan.done_by);
        if (!is_ok(ramp)) {
            return failure(ramp);
        }
        plan.ramp = value(ramp);
    }
    if (!options.watch.empty()) {
        auto const watch = parse_duration(options.watch);
        if (!is_ok(watch)) {
            return failure(watch);
        }
        plan.watch = value(watch);
    }
    auto const valid = validate_new(plan, now);
    if (!is_ok(valid)) {
        return failure(valid);
    }
    return plan;
}

// Returns whether any node lists a serving endpoint of the version.
bool has_serving_target(json::array const& fleet, std::string const& service,
                        std::string const& version) {
    constexpr int serving = 1;
    for (auto const& report : fleet) {
        for (auto const& element : json_fields::objects(report.as_object(), "members")) {
            auto const& member = element.as_object();
            if (json_fields::text(member, "service") == service &&
                json_fields::text(member, "target_version") == version &&
                json_fields::number(member, "state") == serving) {
                return true;
            }
        }
    }
    return false;
}

void start(command_context& context, start_options const& options) {
    auto const session = context.open_session();
    if (!session) {
        return;
    }
    auto const chunk = read_service(*session, options.service);
    if (!is_ok(chunk)) {
        context.fail(failure(chunk));
        return;
    }
    if (!value(chunk).move.empty()) {
        auto const other = decode_move_declaration(value(chunk).move, 0);
        context.fail(
            {result_code::move_conflict,
             "service " + options.service + " already has a running move: " +
                 (is_ok(other) ? value(other).plan.id : std::string("unreadable declaration"))});
        return;
    }
    auto const plan =
        make_plan(options, value(chunk).target_version, std::chrono::system_clock::now());
    if (!is_ok(plan)) {
        context.fail(failure(plan));
        return;
    }
    auto const fleet = query_fleet(*session);
    if (!is_ok(fleet)) {
        context.fail(failure(fleet));
        return;
    }
    if (!has_serving_target(value(fleet), options.service, options.to)) {
        context.fail({result_code::move_without_targets,
                      "no target of " + options.service + " " + options.to + " is serving"});
        return;
    }
    std::cerr << "move " << value(plan).id << "\n";
    move_declaration declaration;
    declaration.plan = value(plan);
    accept_edit(context, *session, move_put{value(plan).id, options.service, encode(declaration)});
}

// Progress of a move across the nodes that responded: the highest step in force and whether any
// node has taken the move back.
struct move_progress {
    std::uint32_t step = 0;
    bool is_taken_back = false;
};

// Returns no value if no node holds the move.
std::optional<move_progress> collect_progress(json::array const& fleet, std::string const& id) {
    std::optional<move_progress> progress;
    for (auto const& report : fleet) {
        for (auto const& element : json_fields::objects(report.as_object(), "moves")) {
            auto const& move = element.as_object();
            if (json_fields::text(move, "id") != id) {
                continue;
            }
            progress = progress.value_or(move_progress{});
            progress->step = std::max(
                progress->step, static_cast<std::uint32_t>(json_fields::number(move, "step")));
            progress->is_taken_back =
                progress->is_taken_back || !json_fields::nested(move, "take_back").empty();
        }
    }
    return progress;
}

// Changes the declaration of a running move and submits it as a new configuration version.
void change_move(command_context& context, std::string const& id,
                 std::function<void(move_declaration&, move_progress const&)> const& change) {
    auto const session = context.open_session();
    if (!session) {
        return;
    }
    auto declared = read_running_move(*session, id);
    if (!is_ok(declared)) {
        context.fail(failure(declared));
        return;
    }
    auto& declaration = value(declared);
    auto const fleet = query_fleet(*session, "/moves");
    if (!is_ok(fleet)) {
        context.fail(failure(fleet));
        return;
    }
    auto const progress = collect_progress(value(fleet), id);
    if (declaration.taken_back_at || (progress && progress->is_taken_back)) {
        context.fail({result_code::move_finished, "move " + id + " was taken back"});
        return;
    }
    change(declaration, progress.value_or(move_progress{}));
    accept_edit(context, *session, move_put{id, declaration.plan.service, encode(declaration)});
}

void set_paused(command_context& context, std::string const& id, bool paused) {
    change_move(context, id,
                [paused](move_declaration& declaration, move_progress const& progress) {
                    auto const held = declaration.pause && declaration.pause->paused && paused
                                          ? declaration.pause->held_step
                                          : progress.step;
                    declaration.pause = move_pause{0, paused, held};
                });
}

void take_back_move(command_context& context, std::string const& id) {
    change_move(context, id, [](move_declaration& declaration, move_progress const& /*progress*/) {
        declaration.taken_back_at = std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    });
}

void add_start(CLI::App& group, command_context& context) {
    auto options = std::make_shared<start_options>();
    auto* command = group.add_subcommand("start", "Move a service to another target version");
    command->add_option("service", options->service, "Service")->required();
    command->add_option("--to", options->to, "New target version")->required();
    command
        ->add_option("--done-by", options->done_by,
                     "Agreed time of completion: +DURATION or UTC such as 2026-12-04T18:00:00Z")
        ->required();
    command->add_option("--start", options->start, "Time of the first step")->capture_default_str();
    command->add_option("--id", options->id,
                        "Id of the move; by default the service name and the current time");
    command->add_option("--ramp", options->ramp,
                        "Steps as SHARE@TIME in percent, such as 1@0,10@30,100@70");
    command->add_option("--watch", options->watch,
                        "How long the new version is judged after the agreed time; by default a "
                        "fifth of the move's duration");
    command->callback([&context, options] { start(context, *options); });
}

} // namespace

void add_move_commands(CLI::App& root, command_context& context) {
    auto* group = root.add_subcommand("move", "Manage moves of services between target versions");
    group->require_subcommand(1);
    add_start(*group, context);
    group->add_subcommand("list", "List the moves")->callback([&context] { list_moves(context); });

    auto id = std::make_shared<std::string>();
    auto nodes = std::make_shared<std::vector<std::string>>();
    auto const add = [&](std::string const& name, std::string const& text,
                         std::function<void()> const& run) {
        auto* command = group->add_subcommand(name, text);
        command->add_option("id", *id, "Id of the move")->required();
        command->callback(run);
        return command;
    };
    auto* status = add("status", "Show the shares, evidence and forecast of each node",
                       [&context, id, nodes] { report_move_status(context, *id, *nodes); });
    auto* explain = add("explain", "Show the decisions about a move and their evidence",
                        [&context, id, nodes] { explain_move(context, *id, *nodes); });
    for (auto* command : {status, explain}) {
        command->add_option(
            "--node", *nodes,
            "Query only these admin addresses (ip:port), without contacting the platform");
    }
    add("pause", "Hold a move at its current step",
        [&context, id] { set_paused(context, *id, true); });
    add("resume", "Continue a paused move", [&context, id] { set_paused(context, *id, false); });
    add("take-back", "Route all requests to the old version permanently",
        [&context, id] { take_back_move(context, *id); });
}

} // namespace peridot
