#pragma once

#include "configuration/route.h"
#include "configuration/usage_limit.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// What a contract allows its workspace at one service.
struct service_grant {
    std::string service;
    /// Target version of a service that no contract has named before; later only moves change it.
    std::string initial_target_version;
    std::vector<route> routes;
    usage_limit limit;

    bool operator==(service_grant const&) const = default;
};

/// The route with the longest matching prefix that allows the method, or nullptr.
route const* find_route(service_grant const& grant, std::string_view method, std::string_view path);

} // namespace peridot
