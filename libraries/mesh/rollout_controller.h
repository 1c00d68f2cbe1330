#pragma once

#include "core/time.h"
#include "mesh/exposure_limits.h"
#include "mesh/rollout.h"
#include "mesh/rollout_completion.h"
#include "mesh/rollout_step.h"
#include "moves/judge_summary.h"
#include "moves/no_change.h"
#include "moves/route_evidence.h"
#include "moves/take_back.h"

#include <memory>
#include <string>
#include <variant>

namespace peridot {

/// Decides on the steps, the completion and the roll-back of one roll-out.
///
/// Answers to a bad version: failures and slow answers are judged against the old version at the
/// same time; a step lasts until the outcome of its requests is known, also that of slow ones; and
/// the roll-out is complete only once the last step has been judged, since the old targets then
/// stop. While the old version fails more often than usual, the last step waits until the deadline,
/// and then leaves the old version a part of the requests for a while, so that a disturbance of
/// both is told from a fault of the new one. A version whose targets cannot be reached neither gets
/// all requests nor is completed, however late the roll-out is. Times are those of the store's
/// clock.
class rollout_controller {
public:
    /// The instance name identifies the judge in a take-back.
    rollout_controller(rollout const& current, std::string instance, exposure_limits limits);
    ~rollout_controller();
    rollout_controller(rollout_controller&&) noexcept;
    rollout_controller& operator=(rollout_controller&&) noexcept;
    rollout_controller(rollout_controller const&) = delete;
    rollout_controller& operator=(rollout_controller const&) = delete;

    using decision = std::variant<no_change, rollout_step, rollout_completion, take_back>;

    /// Decides from the recorded roll-out, which has started, and the evidence of all gates.
    decision decide(rollout const& current, evidence_by_route const& totals, milliseconds now);

    /// The judge's state after the last decision.
    judge_summary summary() const;

    /// Whether the new version currently gets few of the requests that its share stands for.
    bool is_share_missing() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
