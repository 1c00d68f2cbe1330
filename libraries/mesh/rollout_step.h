#pragma once

namespace peridot {

/// The decision to take a step of a roll-out.
struct rollout_step {
    unsigned step = 0;
    /// Share of the service's requests that the new version gets, from 0 to 1.
    double share = 0;
};

} // namespace peridot
