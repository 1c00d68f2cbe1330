#pragma once

#include <string>
#include <vector>

namespace peridot {

/// The entry of a workspace in a manifest. It lists the services that the contract refers to, so
/// that a node can skip chunks outside its scope.
struct workspace_entry {
    std::string chunk_hash;
    std::vector<std::string> services;

    bool operator==(workspace_entry const&) const = default;
};

} // namespace peridot
