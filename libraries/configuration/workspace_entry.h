#pragma once

#include <string>
#include <vector>

namespace peridot {

/// A workspace's place in a manifest. The services let a node skip chunks outside its scope.
struct workspace_entry {
    std::string chunk_hash;
    std::vector<std::string> services;

    bool operator==(workspace_entry const&) const = default;
};

} // namespace peridot
