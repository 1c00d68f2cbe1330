#pragma once

#include "core/time.h"
#include "mesh/exposure_limits.h"
#include "mesh/rollout.h"
#include "mesh/rollout_step.h"
#include "mesh/rollout_traffic.h"
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

/// Returns the share of the given roll-out's step. With little traffic, the requests that a bad
/// version may get are many compared with those of a second: larger shares then give the judge more
/// of them before the last step. With much traffic the shares are those of the plan.
double step_share(rollout const& next, rollout_traffic const& seen, exposure_limits const& limits);

/// Whether the new version gets only a share, and has to get less from now on if it turns out bad.
/// The last step is not taken back without a verdict: the old version's few calls after that would
/// be compared with many earlier ones of the new version.
bool is_exposure_used_up(rollout const& current, rollout_traffic const& seen,
                         exposure_limits const& limits);

/// The decision to send the new version the smallest share in the current step. It continues to be
/// judged, and the next step is taken when it is no longer suspected.
rollout_step step_back(rollout const& current);

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
