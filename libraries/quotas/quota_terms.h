#pragma once

#include <cstdint>
#include <map>
#include <string_view>

namespace peridot {

/// Identifies a workspace in messages.
using quota_key = std::uint64_t;

/// The key of a workspace; the same on every node.
quota_key quota_key_of(std::string_view workspace);

/// The quota of one workspace over all nodes.
struct quota_terms {
    double rate_per_second = 0;
    /// Requests that are accepted at once after a pause.
    double burst = 0;

    bool operator==(quota_terms const&) const = default;
};

using quota_table = std::map<quota_key, quota_terms>;

} // namespace peridot
