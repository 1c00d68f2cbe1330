#pragma once

namespace peridot {

/// The verdict that the move remains at its current step.
struct no_change {};

} // namespace peridot
