#pragma once

#include "mesh/member.h"
#include "mesh/rollout.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridot {

class mesh_configuration;

/// Consistent snapshot of all data used to route a request.
struct fleet_view {
    std::shared_ptr<mesh_configuration const> configuration;
    /// Whether the configuration has values that this program does not know.
    bool has_unknown_values = false;
    /// Number of configurations that this process has refused.
    std::uint64_t refused_configurations = 0;
    /// Members of each service, sorted by instance.
    std::map<std::string, std::vector<member>, std::less<>> members;
    /// Latest rollout of each service.
    std::map<std::string, rollout, std::less<>> rollouts;
    /// Availability zones whose targets must not receive requests.
    std::set<std::string, std::less<>> evacuated_zones;
};

} // namespace peridot
