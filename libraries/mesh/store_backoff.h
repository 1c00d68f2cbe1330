#pragma once

#include "core/random_source.h"
#include "core/time.h"
#include "mesh/store_role.h"

namespace peridot {

/// Pauses between calls to a store that fails, with jitter.
///
/// A store that resets connections fails at once, so every node of the fleet is soon at its next
/// try. The leading nodes of each availability zone find its return within a second; the others
/// learn of it from them, and try by themselves only in case the leading ones alone are cut off.
class store_backoff {
public:
    /// The pause after one more failure.
    milliseconds next(store_role role, random_source& random);

    /// The store has answered.
    void reset() { this->length = milliseconds(0); }

private:
    milliseconds length{0};
};

} // namespace peridot
