#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridot {

/// The store's clock as a node knows it from the store's responses.
///
/// The clock is steady within an era of the store, and may be set back when the store comes back
/// from a copy. Times of the node are those of the boot clock, in milliseconds.
class store_clock {
public:
    /// Records a time that a response of the given era contains.
    void observe(std::uint64_t era, milliseconds store_time, milliseconds now);

    /// Returns the store's time; no value before the first response.
    std::optional<milliseconds> time(milliseconds now) const;

    /// The latest era whose clock is known; 0 before the first response.
    std::uint64_t era() const;

    /// Converts a time of an earlier era's clock to the latest one. A node that does not know the
    /// earlier clock returns the time unchanged.
    milliseconds convert(std::uint64_t from_era, milliseconds store_time) const;

private:
    /// The smallest difference between the node's clock and the store's in each era, because a
    /// delayed response would set the clock back.
    std::map<std::uint64_t, milliseconds> offsets;
};

} // namespace peridot
