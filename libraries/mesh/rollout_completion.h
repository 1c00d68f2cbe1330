#pragma once

namespace peridot {

/// The decision that a roll-out is complete; the old targets stop.
struct rollout_completion {};

} // namespace peridot
