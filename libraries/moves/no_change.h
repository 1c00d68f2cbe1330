#pragma once

namespace peridot {

/// The verdict that the evidence calls for no change.
struct no_change {};

} // namespace peridot
