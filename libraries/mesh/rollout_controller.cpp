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
    return {static_cast<double>(sent) / time, sent_calls(sum.new_version)};
}

} // namespace

class rollout_controller::implementation {
public:
    implementation(rollout const& current, std::string instance, exposure_limits given_limits)
        : limits(given_limits)
        , rollout_judge(make_rollout_plan(current), std::move(instance), judged_routes,
                        rollout_judge_settings()) {}

    decision decide(rollout const& current, evidence_by_route const& totals, milliseconds now) {
        move_state state;
        state.move = rollout_id(current);
        state.gate = current.step;
        auto const verdict = this->rollout_judge.assess(to_wall_time(now), state, totals);
        if (auto const* back = std::get_if<take_back>(&verdict)) {
            return *back;
        }
        auto const sum = pooled(totals);
        this->intake.observe(current.share, sum, now);
        this->failures.observe(sum, now);
        auto const seen = traffic_since_start(totals, now - current.started);
        if (auto const* raise = std::get_if<step_raise>(&verdict)) {
            rollout next = current;
            next.step = raise->step;
            return this->take_step({next.step, step_share(next, seen, this->limits)});
        }
        if (this->is_complete(current, now)) {
            return rollout_completion{};
        }
        if (this->rollout_judge.summary().is_holding &&
            is_exposure_used_up(current, seen, this->limits)) {
            return step_back(current);
        }
        return no_change{};
    }

    judge_summary summary() const { return this->rollout_judge.summary(); }

    bool is_share_missing() const { return this->intake.is_missing(); }

private:
    // A version whose targets cannot be reached does not get all requests.
    decision take_step(rollout_step const& next) const {
        if (next.share >= 1 && this->intake.is_missing()) {
            return no_change{};
        }
        return next;
    }

    bool is_complete(rollout const& current, milliseconds now) {
        // A version that is reached again has to show with all requests that it is good.
        if (current.share < 1 || this->intake.is_missing()) {
            this->last_step_since.reset();
            return false;
        }
        if (!this->last_step_since) {
            this->last_step_since = now;
        }
        auto const summary = this->rollout_judge.summary();
        bool const is_judged = summary.is_step_judged || is_completion_due(current, now);
        return is_judged && !summary.is_holding && !this->failures.is_rising() &&
               can_complete_rollout(current, *this->last_step_since, now);
    }

    exposure_limits limits;
    judge rollout_judge;
    version_intake intake;
    latest_failures failures;
    std::optional<milliseconds> last_step_since;
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
