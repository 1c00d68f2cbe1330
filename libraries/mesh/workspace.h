#pragma once

#include <optional>
#include <string>

namespace peridot {

/// A workspace of the active configuration, without its keys.
struct workspace {
    std::string name;
    /// 0 is the highest priority. Goes before the priority of the route.
    std::optional<unsigned> priority;
    /// Requests per second that all nodes together accept; 0 for no limit.
    double rate_per_second = 0;
    /// Requests beyond the rate that are accepted at once after a pause.
    double burst = 0;

    bool has_quota() const { return this->rate_per_second > 0; }

    bool operator==(workspace const&) const = default;
};

} // namespace peridot
