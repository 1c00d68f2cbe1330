#pragma once

#include "core/time.h"
#include "mesh/request_kind.h"
#include "mesh/weighted_service.h"

#include <string>
#include <vector>

namespace peridot {

/// A route of the active configuration.
struct mesh_route {
    std::string name;
    std::string host;
    /// Starts and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Maximum time for which a caller waits for a response.
    milliseconds timeout{30'000};
    /// Time within which a response has its full value for the caller.
    milliseconds target_latency{1'000};
    /// 0 is the highest priority.
    unsigned priority = 0;
    /// Maximum number of endpoints that one request may be sent to.
    unsigned attempts = 1;
    /// Whether callers need no key of a workspace.
    bool is_public = false;
    /// Contains at least one entry. The weights need not add up to one.
    std::vector<weighted_service> services;

    bool operator==(mesh_route const&) const = default;
};

} // namespace peridot
