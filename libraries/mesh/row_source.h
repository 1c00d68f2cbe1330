#pragma once

#include <string>
#include <variant>

namespace peridot {

/// The change feed of the store.
struct store_source {
    bool operator==(store_source const&) const = default;
};

/// A node that follows the store's feed and forwards the rows.
struct peer_source {
    std::string instance;
    std::string ip;

    bool operator==(peer_source const&) const = default;
};

/// Source from which a node receives row changes.
using row_source = std::variant<store_source, peer_source>;

} // namespace peridot
