#pragma once

#include "core/time.h"

namespace peridot {

/// One step of a move's ramp: the allowed share and the earliest time at which it applies.
struct ramp_step {
    /// Maximum share of the service's requests for the new version, above 0 and at most 1.
    double share = 0;
    wall_time earliest;

    bool operator==(ramp_step const&) const = default;
};

} // namespace peridot
