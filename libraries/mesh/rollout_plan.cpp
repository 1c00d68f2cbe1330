#include "mesh/rollout_plan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peridot {

namespace {

// Share of the requests, and the fraction of the duration after which the step may be taken.
struct step_schedule {
    double share;
    double time_fraction;
};

constexpr std::array<step_schedule, 4> steps{
    {{0.02, 0.0}, {0.05, 0.25}, {0.25, 0.53}, {1.0, 0.60}}};
// New targets are slow for some seconds after their start, which is not a fault of the version.
constexpr int warm_up_divisor = 6;
constexpr std::uint64_t minimum_calls_per_step = 16;
constexpr seconds minimum_step_time{1};
// A roll-out sends few requests before its last step, so a slight suspicion is enough to wait. The
// e-value of a good version falls below this within some tens of requests.
constexpr double last_hold_threshold = 1;
// All requests go to the new version for at least this long before the old targets may stop, even
// if that makes the rollout late. A version that fails only under load shows it during this time,
// and it cannot be rolled back once the old targets have stopped.
constexpr milliseconds min_completion_time{1500};
// Time before the deadline at which the completion is written at the latest.
constexpr milliseconds completion_write_time{600};
milliseconds fraction_of(milliseconds time, double fraction) {
    return milliseconds(std::llround(static_cast<double>(time.count()) * fraction));
}

} // namespace

std::string rollout_id(rollout const& current) {
    return "r" + std::to_string(current.order);
}

move_plan make_rollout_plan(rollout const& current) {
    move_plan plan;
    plan.id = rollout_id(current);
    plan.service = current.service;
    plan.to = current.to;
    plan.start = to_wall_time(current.started);
    plan.done_by = plan.start + current.duration;
    for (auto const& step : steps) {
        plan.ramp.push_back(
            {step.share, plan.start + fraction_of(current.duration, step.time_fraction)});
    }
    return plan;
}

judge_settings rollout_judge_settings() {
    judge_settings settings;
    settings.warm_up_divisor = warm_up_divisor;
    settings.minimum_calls_per_step = minimum_calls_per_step;
    settings.minimum_step_time = minimum_step_time;
    settings.last_hold_threshold = last_hold_threshold;
    settings.completion_time = min_completion_time + completion_write_time;
    // The old targets stay until the roll-out is complete or rolled back, however late that is.
    settings.ends_after_watch = false;
    return settings;
}

wall_time to_wall_time(milliseconds store_time) {
    return wall_time(store_time);
}

std::string blocked_version(rollout const& recorded, bool is_condemned) {
    bool const is_taken_back = recorded.phase == rollout_phase::rolled_back ||
                               (recorded.phase == rollout_phase::running && is_condemned);
    bool const has_other_version = recorded.from != recorded.to;
    return is_taken_back && has_other_version ? recorded.to : std::string();
}

bool is_completion_due(rollout const& current, milliseconds now) {
    return now >= current.started + current.duration - completion_write_time;
}

bool can_complete_rollout(rollout const& current, milliseconds last_step_since, milliseconds now) {
    return current.share >= 1 && now - last_step_since >= min_completion_time;
}

} // namespace peridot
