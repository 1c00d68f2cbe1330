#pragma once

#include "core/time.h"
#include "moves/judge_settings.h"
#include "moves/judge_summary.h"
#include "moves/move_plan.h"
#include "moves/move_state.h"
#include "moves/route_evidence.h"
#include "moves/verdict.h"

#include <cstddef>
#include <memory>
#include <string>

namespace peridot {

/// Decides from the aggregated evidence whether a move proceeds or is taken back. Every node that
/// acts as a judge has one instance for each move.
class judge {
public:
    /// The instance name identifies the judge in take-backs. The false-alarm rate is divided among
    /// the given number of routes of the service.
    judge(move_plan plan, std::string instance, std::size_t route_count,
          judge_settings const& settings = {});
    ~judge();
    judge(judge&&) noexcept;
    judge& operator=(judge&&) noexcept;
    /// A copy can assess other totals without a change to the original.
    judge(judge const& other);
    judge& operator=(judge const& other);

    /// Assesses the evidence so far; may be called at any time and any number of times. Totals are
    /// cumulative, so repeated totals are counted once. A take-back is final.
    verdict assess(wall_time now, move_state const& current, evidence_by_route const& totals);

    /// Starts the tests and the step anew, for calls under other conditions. What earlier calls
    /// have shown in favor of the new version then does not outweigh what the next ones show
    /// against it. The false-alarm rate applies to each start.
    void restart();

    /// Takes the move back on the evidence so far, although it has not reached the threshold.
    take_back condemn(wall_time now);

    /// The state after the last assessment.
    judge_summary summary() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace peridot
