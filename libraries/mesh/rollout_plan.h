#pragma once

#include "core/time.h"
#include "mesh/rollout.h"
#include "moves/judge_settings.h"
#include "moves/move_plan.h"

#include <string>

namespace peridot {

/// Name under which evidence for a roll-out is summed.
std::string rollout_id(rollout const& current);

/// The steps of a roll-out that began at its start time, on the store's clock.
///
/// A bad version may get a tenth of the service's requests in the whole time, so the shares before
/// the last step add up to less than half of that, and the last step comes early enough to be seen
/// as bad or to be completed in time.
move_plan make_rollout_plan(rollout const& current);

/// What the judge of a roll-out decides by.
judge_settings rollout_judge_settings();

/// The store's clock as the judge takes it.
wall_time to_wall_time(milliseconds store_time);

/// Whether all requests have gone to the new version for long enough to end the roll-out.
bool can_complete_rollout(rollout const& current, milliseconds last_step_since, milliseconds now);

} // namespace peridot
