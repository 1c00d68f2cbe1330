#pragma once

#include "core/random_source.h"
#include "core/time.h"
#include "mesh/store_role.h"

namespace peridot {

/// Backoff with jitter between calls to a failing store.
///
/// A store that resets connections fails immediately, so without a backoff every node of the fleet
/// would retry at once. The leading nodes of each availability zone detect the recovery of the
/// store within a second. The other nodes get it from them and retry only in case the leading nodes
/// alone are cut off.
class store_backoff {
public:
    /// Returns the pause after another failure.
    milliseconds next(store_role role, random_source& random);

    /// Resets the backoff after a response of the store.
    void reset() { this->length = milliseconds(0); }

private:
    milliseconds length{0};
};

} // namespace peridot
