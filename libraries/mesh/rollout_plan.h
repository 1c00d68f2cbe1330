#pragma once

#include "core/time.h"
#include "mesh/rollout.h"
#include "moves/judge_settings.h"
#include "moves/move_plan.h"

#include <string>

namespace peridot {

/// Id under which the evidence for a rollout is aggregated.
std::string rollout_id(rollout const& current);

/// Returns the steps of a rollout, relative to its start time on the store's clock.
///
/// Over its whole duration, a rollout may send a tenth of the service's requests to a bad version.
/// The shares before the last step therefore add up to so little that a version which turns out bad
/// only with all requests can still be rolled back within that. The last step comes early enough to
/// detect a bad version or to complete in time.
move_plan make_rollout_plan(rollout const& current);

/// Settings of the judge for rollouts.
judge_settings rollout_judge_settings();

/// Converts a time on the store's clock to the type that the judge uses.
wall_time to_wall_time(milliseconds store_time);

/// Returns the version that gates refuse, or an empty text. A verdict against the new version
/// counts only until its roll-out ends. From then on the recorded phase decides, because the old
/// targets stop with a completion even if a node has condemned the version meanwhile.
std::string blocked_version(rollout const& recorded, bool is_condemned);

/// Whether the deadline is so close that the rollout has to be completed to be in time.
bool is_completion_due(rollout const& current, milliseconds now);

/// Whether all requests have gone to the new version for long enough to complete the rollout.
bool can_complete_rollout(rollout const& current, milliseconds last_step_since, milliseconds now);

} // namespace peridot
