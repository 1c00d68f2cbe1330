#pragma once

#include "core/time.h"
#include "moves/move_phase.h"
#include "moves/move_plan.h"
#include "moves/move_state.h"
#include "moves/target_side.h"
#include "moves/version_capacity.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace peridot {

/// The current step: the highest that the plan's times, the gate and a pause allow. There is none
/// before the start and after a take-back.
std::optional<std::uint32_t> step_at(move_plan const& plan, move_state const& state, wall_time now);

/// The share of requests for the new version, between 0 and 1. It is limited to the ratio of the
/// new version's slots to the old version's, since the old version's slots are sized for the full
/// load. Without old slots, the share of the step applies.
double share_at(move_plan const& plan, move_state const& state, version_capacity const& capacity,
                wall_time now);

/// Selects the version for a request by its key, which is the request id or a session key. The
/// selection is the same on every node, and a key that was assigned to the new version remains
/// assigned to it as the share increases.
target_side choose_side(std::string_view move, std::string_view key, double share);

/// The phase of the move. A move is late when its deadline passes before the last step.
move_phase phase_at(move_plan const& plan, move_state const& state, wall_time now);

} // namespace peridot
