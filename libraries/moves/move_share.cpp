#include "moves/move_share.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>

namespace peridot {

std::optional<std::uint32_t> step_at(move_plan const& plan, move_state const& state,
                                     wall_time now) {
    if (state.latch || now < plan.start) {
        return std::nullopt;
    }
    std::size_t highest = state.gate;
    if (state.pause.paused) {
        highest = std::min<std::size_t>(highest, state.pause.held_step);
    }
    std::optional<std::uint32_t> step;
    for (std::size_t index = 0; index < plan.ramp.size() && index <= highest; ++index) {
        if (plan.ramp[index].earliest <= now) {
            step = static_cast<std::uint32_t>(index);
        }
    }
    return step;
}

double share_at(move_plan const& plan, move_state const& state, version_capacity const& capacity,
                wall_time now) {
    auto const step = step_at(plan, state, now);
    if (!step || capacity.new_slots == 0) {
        return 0;
    }
    double const share = plan.ramp[*step].share;
    if (capacity.old_slots == 0) {
        return share;
    }
    return std::min(share, static_cast<double>(capacity.new_slots) /
                               static_cast<double>(capacity.old_slots));
}

target_side choose_side(std::string_view move, std::string_view key, double share) {
    // The upper 53 bits of the hash map to a uniform number in [0, 1) that a double represents
    // exactly.
    double const position =
        std::ldexp(static_cast<double>(fingerprint(key, fingerprint(move)) >> 11U), -53);
    return position < share ? target_side::new_version : target_side::old_version;
}

move_phase phase_at(move_plan const& plan, move_state const& state, wall_time now) {
    if (state.latch) {
        return move_phase::taken_back;
    }
    auto const step = step_at(plan, state, now);
    if (!step) {
        return move_phase::waiting;
    }
    if (*step + 1 < plan.ramp.size()) {
        return now > plan.done_by ? move_phase::late : move_phase::ramping;
    }
    return now < plan.done_by + plan.watch ? move_phase::watching : move_phase::done;
}

} // namespace peridot
