#pragma once

#include "core/time.h"
#include "mesh/request_kind.h"
#include "mesh/weighted_service.h"

#include <string>
#include <vector>

namespace peridot {

/// One route of the configuration in force.
struct mesh_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Longest time that a caller is kept waiting.
    milliseconds timeout{30'000};
    /// Time in which an answer has its full value for the caller.
    milliseconds target_latency{1'000};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Largest number of endpoints that one request may be sent to.
    unsigned attempts = 1;
    /// At least one; the weights need not add up to one.
    std::vector<weighted_service> services;

    bool operator==(mesh_route const&) const = default;
};

} // namespace peridot
