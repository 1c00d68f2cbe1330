#pragma once

#include "core/time.h"
#include "moves/move_plan.h"

#include <cstddef>

namespace peridot {

/// The time at which a step is taken even if there was too little traffic to judge the previous
/// one. The times of the ramp are stretched so that the last step is at 95 % of the time between
/// the start and the deadline.
wall_time latest_step_time(move_plan const& plan, std::size_t step);

} // namespace peridot
