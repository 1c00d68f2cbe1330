#include "mesh/rollout_controller.h"

#include "mesh/latest_failures.h"
#include "mesh/rollout_plan.h"
#include "mesh/version_intake.h"
#include "moves/judge.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace peridot {

namespace {

// The judge divides its false-alarm rate by this number of routes of a service.
constexpr std::size_t judged_routes = 8;

rollout_traffic traffic_since_start(evidence_by_route const& totals, milliseconds elapsed) {
    auto const sum = pooled(totals);
    auto const sent = sent_calls(sum.old_version) + sent_calls(sum.new_version);
    auto const time = std::max(1.0, std::chrono::duration<double>(elapsed).count());
    return {static_cast<double>(sent) / time, sent_calls(sum.new_version),
            sum.new_version.failures};
}

} // namespace

class rollout_controller::implementation {
public:
    implementation(rollout const& current, std::string instance, exposure_limits given_limits)
        : limits(given_limits)
        , rollout_judge(make_rollout_plan(current), std::move(instance), judged_routes,
                        rollout_judge_settings()) {}

    decision decide(rollout const& current, evidence_by_route const& totals, milliseconds now) {
        this->start_last_step(current);
        move_state state;
        state.move = rollout_id(current);
        state.gate = current.step;
        auto const verdict = this->rollout_judge.assess(to_wall_time(now), state, totals);
        if (auto const* back = std::get_if<take_back>(&verdict)) {
            return *back;
        }
        auto const summary = this->rollout_judge.summary();
        auto const sum = pooled(totals);
        this->intake.observe(current.share, sum, now);
        this->failures.observe(sum, now);
        auto const seen = traffic_since_start(totals, now - current.started);
        if (auto const* raise = std::get_if<step_raise>(&verdict)) {
            rollout next = current;
            next.step = raise->step;
            return this->take_step(this->next_step(next, summary, seen));
        }
        if (this->is_comparison_over(current, summary, now)) {
            return this->take_step({current.step, 1});
        }
        if (this->is_complete(current, summary, now)) {
            return rollout_completion{};
        }
        return this->limit_exposure(current, summary, seen, now);
    }

    judge_summary summary() const { return this->rollout_judge.summary(); }

    bool is_share_missing() const { return this->intake.is_missing(); }

private:
    // The last step, with all requests or a part of them, is judged by its own calls.
    void start_last_step(rollout const& current) {
        if (is_last_step(current) && this->last_step_share != current.share) {
            this->last_step_share = current.share;
            this->rollout_judge.restart();
        }
    }

    // Takes a suspected version back or reduces its share, before it gets too many requests.
    decision limit_exposure(rollout const& current, judge_summary const& summary,
                            rollout_traffic const& seen, milliseconds now) {
        bool const is_used_up = is_exposure_used_up(current, seen, this->limits);
        bool const is_late = now >= current.started + current.duration;
        // A suspicion counts once the share cannot be raised any more to confirm or to dispel it.
        bool const is_final =
            is_used_up || this->is_stepped_back || is_last_step(current) || is_late;
        this->update_suspicion(summary.is_holding && is_final, now);
        bool const is_suspicion_final =
            this->suspected_since && is_suspicion_over(*this->suspected_since, now);
        bool const is_comparison_failed = this->comparison_since && summary.is_step_judged &&
                                          has_failed_comparison(*this->comparison_since, now);
        if (is_suspicion_final || is_comparison_failed) {
            return this->rollout_judge.condemn(to_wall_time(now));
        }
        if (summary.is_holding && is_used_up) {
            this->is_stepped_back = true;
            return step_back(current);
        }
        // Evidence against the new version grows: its next requests lead to a verdict.
        bool const is_suspected = summary.e_value >= 1;
        bool const is_waiting =
            summary.is_old_version_failing && summary.has_sent_step_calls && !is_suspected;
        if (is_waiting && must_pause_in_disturbance(current, seen, this->limits)) {
            return pause_in_disturbance(current);
        }
        return no_change{};
    }

    void update_suspicion(bool is_suspected, milliseconds now) {
        if (is_suspected) {
            this->suspected_since = this->suspected_since.value_or(now);
        } else {
            this->suspected_since.reset();
        }
    }

    rollout_step next_step(rollout const& next, judge_summary const& summary,
                           rollout_traffic const& seen) const {
        bool const is_compared = is_last_step(next) && summary.is_old_version_failing;
        return is_compared ? last_step_in_disturbance(next)
                           : rollout_step{next.step, step_share(next, seen, this->limits)};
    }

    // Whether a last step with a part of the requests has shown that the version is good.
    bool is_comparison_over(rollout const& current, judge_summary const& summary,
                            milliseconds now) {
        if (!is_last_step(current) || current.share >= 1) {
            this->comparison_since.reset();
            return false;
        }
        if (!this->comparison_since) {
            this->comparison_since = now;
            this->was_compared = true;
        }
        return summary.is_step_judged && !this->failures.is_rising() &&
               can_end_comparison(*this->comparison_since, now, summary.e_value);
    }

    // A version whose targets cannot be reached does not get all requests.
    decision take_step(rollout_step const& next) const {
        if (next.share >= 1 && this->intake.is_missing()) {
            return no_change{};
        }
        return next;
    }

    bool is_complete(rollout const& current, judge_summary const& summary, milliseconds now) {
        // A version that is reached again has to show with all requests that it is good.
        if (current.share < 1 || this->intake.is_missing()) {
            this->last_step_since.reset();
            return false;
        }
        if (!this->last_step_since) {
            this->last_step_since = now;
        }
        bool const is_judged = summary.is_step_judged || is_completion_due(current, now);
        bool const has_lasted =
            this->was_compared ? can_complete_after_comparison(current, *this->last_step_since, now)
                               : can_complete_rollout(current, *this->last_step_since, now);
        return is_judged && has_lasted && !summary.is_holding && !this->failures.is_rising();
    }

    exposure_limits limits;
    judge rollout_judge;
    version_intake intake;
    latest_failures failures;
    /// The share of the last step that is judged; no value before that step.
    std::optional<double> last_step_share;
    /// Whether the share was reduced to the smallest one.
    bool is_stepped_back = false;
    std::optional<milliseconds> suspected_since;
    std::optional<milliseconds> last_step_since;
    std::optional<milliseconds> comparison_since;
    /// Whether the last step began with a part of the requests.
    bool was_compared = false;
};

rollout_controller::rollout_controller(rollout const& current, std::string instance,
                                       exposure_limits limits)
    : self(std::make_unique<implementation>(current, std::move(instance), limits)) {}
rollout_controller::~rollout_controller() = default;
rollout_controller::rollout_controller(rollout_controller&&) noexcept = default;
rollout_controller& rollout_controller::operator=(rollout_controller&&) noexcept = default;

rollout_controller::decision rollout_controller::decide(rollout const& current,
                                                        evidence_by_route const& totals,
                                                        milliseconds now) {
    return this->self->decide(current, totals, now);
}

judge_summary rollout_controller::summary() const {
    return this->self->summary();
}

bool rollout_controller::is_share_missing() const {
    return this->self->is_share_missing();
}

} // namespace peridot
