#include "node/move_report.h"

#include "moves/move_plan_json.h"
#include "moves/move_share.h"
#include "moves/step_schedule.h"
#include "node/move_decisions.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

std::int64_t to_milliseconds(wall_time time) {
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

std::string_view name_of(move_phase phase) {
    switch (phase) {
    case move_phase::waiting:
        return "waiting";
    case move_phase::ramping:
        return "ramping";
    case move_phase::watching:
        return "watching";
    case move_phase::done:
        return "done";
    case move_phase::late:
        return "late";
    case move_phase::taken_back:
        return "taken_back";
    }
    return "unknown";
}

json::value next_step(running_move const& move) {
    auto const next = std::size_t{move.state.gate} + 1;
    if (move.state.latch || next >= move.plan().ramp.size()) {
        return nullptr;
    }
    auto const& step = move.plan().ramp[next];
    return json::object{{"step", next},
                        {"share", step.share},
                        {"earliest_ms", to_milliseconds(step.earliest)},
                        {"latest_ms", to_milliseconds(latest_step_time(move.plan(), next))}};
}

// Against the agreed time: a move that is paused or held takes no further step by itself.
std::string_view forecast(running_move const& move, wall_time clock) {
    auto const& plan = move.plan();
    auto const step = step_at(plan, move.state, clock);
    if (move.state.latch) {
        return "taken back";
    }
    if (step && *step + 1 == plan.ramp.size()) {
        return "in time";
    }
    if (clock > plan.done_by) {
        return "missed its time";
    }
    bool const is_held = move.judgement && move.judgement->decider.summary().is_holding;
    bool const is_limited = move.capacity.new_slots == 0;
    if (move.state.pause.paused || is_held || is_limited) {
        return "will miss its time";
    }
    return "in time";
}

json::value judge_report(running_move const& move) {
    if (!move.judgement) {
        return nullptr;
    }
    auto const summary = move.judgement->decider.summary();
    return json::object{{"e_value", summary.e_value},
                        {"threshold", summary.threshold},
                        {"is_warming_up", summary.is_warming_up},
                        {"is_holding", summary.is_holding},
                        {"is_against_baseline", summary.is_against_baseline},
                        {"evidence", figures_of(summary.evidence)}};
}

json::object own_counts(running_move const& move) {
    route_evidence total;
    for (auto const& [route, counters] : move.service->routes) {
        auto const counts = counters->load();
        total.old_version += counts.old_version;
        total.new_version += counts.new_version;
    }
    return figures_of(total);
}

} // namespace

json::object report_move(running_move const& move, steady_time now, wall_time clock) {
    auto report = to_json(move.plan());
    auto const step = step_at(move.plan(), move.state, clock);
    report["phase"] = name_of(phase_at(move.plan(), move.state, clock));
    report["share"] = move.service->progress->share();
    report["step"] = step ? json::value(*step) : json::value(nullptr);
    report["gate"] = move.state.gate;
    report["paused"] = move.state.pause.paused;
    report["suspected"] = move.service->progress->is_suspected(now);
    report["take_back"] =
        move.state.latch ? json::value(to_json(*move.state.latch)) : json::value(nullptr);
    report["next_step"] = next_step(move);
    report["forecast"] = forecast(move, clock);
    report["evidence"] = own_counts(move);
    report["old_slots"] = move.capacity.old_slots;
    report["new_slots"] = move.capacity.new_slots;
    report["judges"] = json::value_from(move.judges);
    report["judge"] = judge_report(move);
    return report;
}

} // namespace peridot
