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

/// Whether the new version has to get no requests until a disturbance is over: what a bad one may
/// still get is only enough for the last step, or so many of its answers have failed that a bad one
/// has to be taken back soon.
bool must_pause_in_disturbance(rollout const& current, rollout_traffic const& seen,
                               exposure_limits const& limits);

/// The decision to send the new version nothing in the current step.
rollout_step pause_in_disturbance(rollout const& current);

/// Whether a version that is suspected since the given time has to be taken back without a verdict.
bool is_suspicion_over(milliseconds suspected_since, milliseconds now);

/// The decision to send the new version the smallest share in the current step. It continues to be
/// judged, and the next step is taken when it is no longer suspected.
rollout_step step_back(rollout const& current);

/// Whether the roll-out has taken its last step, with all requests or a part of them.
bool is_last_step(rollout const& current);

/// The last step of a late roll-out during a disturbance. The old version keeps so many requests
/// that its failures show whether those of the new one are due to the disturbance.
rollout_step last_step_in_disturbance(rollout const& current);

/// Whether a last step in a disturbance has lasted long enough for a verdict, and the evidence
/// speaks for the new version.
bool can_end_comparison(milliseconds last_step_since, milliseconds now, double e_value);

/// Whether a last step in a disturbance, which has sent enough requests, has lasted so long that
/// the new version has to be taken back without a verdict.
bool has_failed_comparison(milliseconds last_step_since, milliseconds now);

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

/// The same for a roll-out whose last step began in a disturbance.
bool can_complete_after_comparison(rollout const& current, milliseconds last_step_since,
                                   milliseconds now);

} // namespace peridot
