#pragma once

#include "mesh/caller_limits.h"
#include "mesh/mesh_route.h"
#include "mesh/service_terms.h"
#include "mesh/workspace.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridot {

/// The content from which a mesh_configuration is built.
struct configuration_content {
    std::uint64_t version = 0;
    std::vector<mesh_route> routes;
    std::map<std::string, service_terms, std::less<>> services;
    std::vector<workspace> workspaces;
    /// Maps the digest of each key to the index of its workspace; see mesh_configuration::digest().
    std::map<std::string, std::size_t> workspaces_by_key;
    caller_limits limits;
};

} // namespace peridot
