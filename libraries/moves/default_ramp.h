#pragma once

#include "core/time.h"
#include "moves/ramp_step.h"

#include <vector>

namespace peridot {

/// The ramp of a declaration that does not specify one: 1, 5, 20, 50 and 100 % of the requests. The
/// last step is allowed after 70 % of the time, so that delayed steps still finish by the deadline.
std::vector<ramp_step> default_ramp(wall_time start, wall_time done_by);

} // namespace peridot
