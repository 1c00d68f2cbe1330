#pragma once

#include "mesh/store_revision.h"

#include <string>

namespace peridot {

/// A row as a node stores it and forwards it to other nodes.
struct replica_row {
    std::string table;
    std::string key;
    std::string value;
    store_revision revision;
    bool is_removed = false;

    bool operator==(replica_row const&) const = default;
};

} // namespace peridot
