#pragma once

#include <cstdint>

namespace peridot {

/// What an attempt at a member showed of it.
enum class target_observation : std::uint8_t {
    succeeded,
    /// The target answered with a failure of its own.
    failed,
    /// The member refused for want of slots.
    busy,
    /// The member or its target is leaving or not there.
    draining,
    /// The member could not be reached, or its connection ended without an answer.
    unreachable,
};

} // namespace peridot
