#pragma once

#include <cstdint>

namespace peridot {

/// Result of an attempt at a member.
enum class target_observation : std::uint8_t {
    succeeded,
    /// The target responded with a failure.
    failed,
    /// The member refused the request because no slot was free.
    busy,
    /// The member or its target is draining or gone.
    draining,
    /// The member could not be reached, or its connection was closed without a response.
    unreachable,
};

} // namespace peridot
