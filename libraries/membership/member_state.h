#pragma once

#include <cstdint>

namespace peridot {

/// Lifecycle state that a member announces.
enum class member_state : std::uint8_t {
    /// The node is running but its target is not ready.
    starting = 0,
    /// The target accepts requests.
    serving = 1,
    /// Requests in flight complete; new requests are rejected.
    draining = 2,
    /// The node has shut down as planned.
    left = 3,
};

} // namespace peridot
