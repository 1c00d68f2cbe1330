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
// Share of the last step in a disturbance, and its least time. A version that fails with half of
// its requests, beside a quarter that the disturbance fails, is condemned within this time.
constexpr double compared_share = 0.65;
constexpr milliseconds min_comparison_time{4500};
// The e-value of a good version falls below this in that time.
constexpr double compared_e_value = 0.5;
// A version of which this is not so after this time, with enough requests, is taken back.
constexpr milliseconds max_comparison_time{5500};
// Least time with all requests after that: the old version's failures are then the baseline,
// against which a verdict takes longer.
constexpr milliseconds min_time_after_comparison{3000};
// A version that is suspected for this long, while no more requests may show whether it is bad, is
// taken back.
constexpr milliseconds max_suspicion_time{2500};
// Time before the deadline at which the completion is written at the latest.
constexpr milliseconds completion_write_time{600};
// A version that is bad only with all requests gets this many, and those of this time, until it is
// taken back: its first answers, their report and the verdict take time, and the verdict takes some
// answers.
constexpr double last_step_requests = 36;
constexpr std::chrono::duration<double> last_step_reaction{0.9};
// Time from the decision to change a share until no request is sent by the old one.
constexpr std::chrono::duration<double> share_change_time{0.4};
// Requests that are kept free for those that are not reported yet.
constexpr double exposure_margin = 8;
// Failures of the new version in a disturbance, after which it gets no requests until that is over.
// A bad version has to be taken back soon after 50 failures, whatever the old version does.
constexpr std::uint64_t max_failures_in_disturbance = 35;
// Typical time until it is known whether a request is slow, and until that is reported.
constexpr std::chrono::duration<double> expected_decision_time{1.2};
// Largest share of a step before the last one. The old version has to remain comparable.
constexpr double max_partial_share = 0.5;
// Part of the requests that a bad version may still get that the step before the second to last one
// may use.
constexpr double earlier_step_part = 0.35;
// Fraction of the duration after which the last step is taken at the latest, if answers are quick.
constexpr double latest_last_step = 0.85;

milliseconds fraction_of(milliseconds time, double fraction) {
    return milliseconds(std::llround(static_cast<double>(time.count()) * fraction));
}

// The requests that a bad version may still get.
double remaining_exposure(rollout const& current, rollout_traffic const& seen,
                          exposure_limits const& limits) {
    double const time = std::chrono::duration<double>(current.duration).count();
    double const allowed = limits.share * seen.requests_per_second * time + limits.extra_requests;
    return allowed - static_cast<double>(seen.sent_to_new_version);
}

// The requests that a version which is bad only with all requests gets until it is taken back.
double last_step_exposure(double rate) {
    return rate * last_step_reaction.count() + last_step_requests;
}

// The share of a step that the next one follows at its time. The arguments are requests per second
// to all versions, and those that the new version may get before the last step.
double share_before_timed_step(rollout const& next, double rate, double left) {
    auto const& step = steps.at(next.step);
    double const fraction = steps.at(next.step + 1).time_fraction - step.time_fraction;
    double const requests = rate * fraction * std::chrono::duration<double>(next.duration).count();
    return std::clamp(left * earlier_step_part / requests, step.share, max_partial_share);
}

// The same for the step before the last one, which waits for evidence: the time until then depends
// on the share.
double share_before_last_step(rollout const& next, double rate, double left) {
    auto const& step = steps.at(next.step);
    double const latest = (latest_last_step - step.time_fraction) *
                          std::chrono::duration<double>(next.duration).count();
    double const expected = std::min(latest, minimum_calls_per_step / (rate * step.share) +
                                                 expected_decision_time.count());
    double const affordable = std::min(step.share, left / (rate * expected));
    return std::clamp(std::max(affordable, left / (rate * latest)), steps.at(next.step - 1).share,
                      max_partial_share);
}

} // namespace

std::string rollout_id(rollout const& current) {
    auto const number = "r" + std::to_string(current.order.number);
    return current.order.era == 0 ? number : number + "." + std::to_string(current.order.era);
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

double step_share(rollout const& next, rollout_traffic const& seen, exposure_limits const& limits) {
    double const planned = steps.at(next.step).share;
    double const rate = seen.requests_per_second;
    if (planned >= 1 || rate <= 0) {
        return planned;
    }
    double const left = remaining_exposure(next, seen, limits) - last_step_exposure(rate);
    bool const is_before_last = next.step + 2 == steps.size();
    return is_before_last ? share_before_last_step(next, rate, left)
                          : share_before_timed_step(next, rate, left);
}

bool must_pause_in_disturbance(rollout const& current, rollout_traffic const& seen,
                               exposure_limits const& limits) {
    if (current.share <= 0 || is_last_step(current)) {
        return false;
    }
    double const rate = seen.requests_per_second;
    double const needed =
        last_step_exposure(rate) + rate * current.share * share_change_time.count();
    return remaining_exposure(current, seen, limits) <= needed + exposure_margin ||
           seen.failures_of_new_version >= max_failures_in_disturbance;
}

rollout_step pause_in_disturbance(rollout const& current) {
    return {current.step, 0};
}

bool is_exposure_used_up(rollout const& current, rollout_traffic const& seen,
                         exposure_limits const& limits) {
    double const until_in_force =
        seen.requests_per_second * current.share * share_change_time.count();
    bool const is_partial =
        current.share > steps.front().share && current.share < 1 && !is_last_step(current);
    return is_partial &&
           remaining_exposure(current, seen, limits) <= until_in_force + exposure_margin;
}

rollout_step step_back(rollout const& current) {
    return {current.step, steps.front().share};
}

bool is_last_step(rollout const& current) {
    return std::size_t{current.step} + 1 >= steps.size();
}

rollout_step last_step_in_disturbance(rollout const& current) {
    return {current.step, compared_share};
}

bool is_suspicion_over(milliseconds suspected_since, milliseconds now) {
    return now - suspected_since >= max_suspicion_time;
}

bool has_failed_comparison(milliseconds last_step_since, milliseconds now) {
    return now - last_step_since >= max_comparison_time;
}

bool can_end_comparison(milliseconds last_step_since, milliseconds now, double e_value) {
    return now - last_step_since >= min_comparison_time && e_value < compared_e_value;
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

bool can_complete_after_comparison(rollout const& current, milliseconds last_step_since,
                                   milliseconds now) {
    return current.share >= 1 && now - last_step_since >= min_time_after_comparison;
}

} // namespace peridot
