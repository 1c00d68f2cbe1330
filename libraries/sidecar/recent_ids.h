#pragma once

#include "core/boot_clock.h"

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

namespace peridot {

/// Stores recent request ids for a limited time in order to detect duplicates.
class recent_ids {
public:
    /// Stores the id and returns whether it is new.
    bool insert(std::string const& id, boot_time now);

private:
    std::unordered_set<std::string> ids;
    std::deque<std::pair<boot_time, std::string>> arrivals;
};

} // namespace peridot
