#pragma once

#include "core/boot_clock.h"

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

namespace peridot {

/// Remembers ids for a while, so that a request that arrives a second time is recognized.
class recent_ids {
public:
    /// Whether the id is new; it is remembered from now on.
    bool insert(std::string const& id, boot_time now);

private:
    std::unordered_set<std::string> ids;
    std::deque<std::pair<boot_time, std::string>> arrivals;
};

} // namespace peridot
