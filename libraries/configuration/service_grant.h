#pragma once

#include "configuration/route.h"
#include "configuration/usage_limit.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// The routes of one service that a contract grants to its workspace, and their common limit.
struct service_grant {
    std::string service;
    /// Initial target version of a service that no earlier contract refers to. Afterwards only
    /// moves change the target version.
    std::string initial_target_version;
    std::vector<route> routes;
    usage_limit limit;

    bool operator==(service_grant const&) const = default;
};

/// Returns the route with the longest matching prefix that allows the method, or nullptr.
route const* find_route(service_grant const& grant, std::string_view method, std::string_view path);

} // namespace peridot
