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

/// All that a request is routed by, as of one moment.
struct fleet_view {
    std::shared_ptr<mesh_configuration const> configuration;
    /// The members of each service, in the order of their instances.
    std::map<std::string, std::vector<member>, std::less<>> members;
    /// The newest roll-out of each service.
    std::map<std::string, rollout, std::less<>> rollouts;
};

} // namespace peridot
