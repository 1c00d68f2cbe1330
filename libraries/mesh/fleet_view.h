#pragma once

#include "mesh/member.h"
#include "mesh/rollout.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridot {

class mesh_configuration;

/// Consistent snapshot of all data used to route a request.
struct fleet_view {
    std::shared_ptr<mesh_configuration const> configuration;
    /// Members of each service, sorted by instance.
    std::map<std::string, std::vector<member>, std::less<>> members;
    /// Latest rollout of each service.
    std::map<std::string, rollout, std::less<>> rollouts;
};

} // namespace peridot
