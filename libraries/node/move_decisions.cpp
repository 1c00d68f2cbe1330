#include "node/move_decisions.h"

#include "core/log.h"
#include "node/running_move.h"
#include "observability/decision_log.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

void record(decision_log& decisions, std::string const& move, std::string kind, std::string reason,
            json::object figures) {
    log::write(log::level::info, kind,
               {{"move", move}, {"reason", reason}, {"figures", json::serialize(figures)}});
    decisions.record({std::chrono::system_clock::now(), std::move(kind), "moves/" + move,
                      std::move(reason), std::move(figures)});
}

json::object evidence_of(running_move const& move) {
    if (!move.judgement) {
        return {};
    }
    auto const summary = move.judgement->decider.summary();
    auto figures = figures_of(summary.evidence);
    figures["e_value"] = summary.e_value;
    figures["threshold"] = summary.threshold;
    return figures;
}

std::string_view name_of(take_back_reason reason) {
    switch (reason) {
    case take_back_reason::failures:
        return "failures";
    case take_back_reason::slow:
        return "slow";
    case take_back_reason::failures_against_baseline:
        return "failures_against_baseline";
    case take_back_reason::slow_against_baseline:
        return "slow_against_baseline";
    case take_back_reason::operator_request:
        return "operator_request";
    }
    return "unknown";
}

std::string route_of(running_move const& move, std::uint32_t number) {
    if (move.service) {
        for (auto const& [name, counters] : move.service->routes) {
            if (route_fingerprint(name) == number) {
                return name;
            }
        }
    }
    return {};
}

} // namespace

json::object to_json(take_back const& decision) {
    return {{"at_ms", decision.at_since_epoch.count()}, {"setter", decision.setter},
            {"reason", name_of(decision.reason)},       {"old_calls", decision.old_calls},
            {"old_events", decision.old_events},        {"new_calls", decision.new_calls},
            {"new_events", decision.new_events},        {"text", describe(decision)}};
}

json::object figures_of(route_evidence const& evidence) {
    auto const counts = [](version_evidence const& version) {
        return json::object{{"calls", version.calls}, {"failures", version.failures}};
    };
    return {{"old", counts(evidence.old_version)}, {"new", counts(evidence.new_version)}};
}

void record_declared(decision_log& decisions, move_plan const& plan) {
    record(decisions, plan.id, "move_declared", plan.from + " to " + plan.to,
           {{"service", plan.service}});
}

void record_changes(decision_log& decisions, running_move const& move, move_state const& before) {
    auto const& state = move.state;
    auto const& id = move.plan().id;
    if (state.gate != before.gate) {
        auto figures = evidence_of(move);
        figures["step"] = state.gate;
        record(decisions, id, "move_step_raised", "the earlier step's evidence or its latest time",
               std::move(figures));
    }
    if (state.pause != before.pause) {
        record(decisions, id, state.pause.paused ? "move_paused" : "move_resumed",
               "an operator asked for it",
               {{"revision", state.pause.revision}, {"held_step", state.pause.held_step}});
    }
    if (state.latch && state.latch != before.latch) {
        auto figures = to_json(*state.latch);
        auto const route = route_of(move, state.latch->route);
        if (!route.empty()) {
            figures["route"] = route;
        }
        record(decisions, id, "move_taken_back", describe(*state.latch), std::move(figures));
    }
}

void record_over(decision_log& decisions, running_move const& move) {
    if (!move.state.latch) {
        record(decisions, move.plan().id, "move_completed",
               "all requests go to the new version and its watch time is over", evidence_of(move));
    }
}

void record_share(running_move const& move, double share) {
    log::write(log::level::info, "move_share",
               {{"move", move.plan().id}, {"service", move.plan().service}, {"share", share}});
}

} // namespace peridot
