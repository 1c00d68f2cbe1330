#pragma once

#include <cstdint>

namespace peridot {

/// A pause of a move, or its end, as requested by an operator.
struct move_pause {
    /// Revision of the move's row at the platform; a higher revision replaces a lower one.
    std::uint64_t revision = 0;
    bool paused = false;
    /// The step at which the move is held, even if the gate is raised concurrently.
    std::uint32_t held_step = 0;

    bool operator==(move_pause const&) const = default;
};

} // namespace peridot
