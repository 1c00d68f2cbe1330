#pragma once

#include <cstdint>
#include <string>

namespace peridot {

/// A row as a node stores it and forwards it to other nodes.
struct replica_row {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;

    bool operator==(replica_row const&) const = default;
};

} // namespace peridot
