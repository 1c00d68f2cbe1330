#pragma once

#include <optional>

namespace peridot {

/// What a target states about itself in its responses.
struct target_notice {
    /// Requests per second that the target accepts from the whole fleet; no value without a limit.
    std::optional<double> rate_limit;
    /// The target shuts down and must get no further requests.
    bool is_leaving = false;

    bool operator==(target_notice const&) const = default;
};

} // namespace peridot
