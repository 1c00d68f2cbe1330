#pragma once

#include <cstdint>

namespace peridot {

/// Liveness of a member as detected by its peers. Within one record version the higher value wins.
enum class liveness : std::uint8_t {
    alive = 0,
    /// A probe failed; the member can still refute the suspicion.
    suspect = 1,
    /// The suspicion was not refuted before its timeout.
    dead = 2,
    /// The member announced its own shutdown.
    left = 3,
};

/// Returns whether a member with this liveness counts as part of the fleet.
inline bool is_present(liveness value) {
    return value == liveness::alive || value == liveness::suspect;
}

} // namespace peridot
