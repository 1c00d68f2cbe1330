#pragma once

#include "moves/version_evidence.h"

#include <functional>
#include <map>
#include <string>

namespace peridot {

/// The evidence of one route for both target versions. They are stored and sent together, so that
/// they always cover the same period.
struct route_evidence {
    /// Maximum length of a route name that fits into a datagram together with its counts.
    static constexpr std::size_t maximum_route_length = 128;

    version_evidence old_version;
    version_evidence new_version;

    bool operator==(route_evidence const&) const = default;
};

/// Evidence by route name.
using evidence_by_route = std::map<std::string, route_evidence, std::less<>>;

/// The sum of the evidence of all routes.
route_evidence pooled(evidence_by_route const& evidence);

} // namespace peridot
