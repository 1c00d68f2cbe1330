#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace peridot {

/// The number of calls sent by each time of the recent past. Calls that were sent long enough ago
/// have a known outcome, whatever it is.
class settled_calls {
public:
    /// Records the number of calls sent so far. Times and numbers must not decrease.
    void add(wall_time now, std::uint64_t sent);

    /// Returns the number of calls sent by that time; zero before the first one. The times of later
    /// queries must not decrease.
    std::uint64_t count(wall_time until);

private:
    std::deque<std::pair<wall_time, std::uint64_t>> sent_by;
    std::uint64_t settled = 0;
};

} // namespace peridot
