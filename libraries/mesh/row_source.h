#pragma once

#include <string>
#include <variant>

namespace peridot {

/// The store's own feed of changes.
struct store_source {
    bool operator==(store_source const&) const = default;
};

/// A node that follows the store's feed and passes the rows on.
struct peer_source {
    std::string instance;
    std::string ip;

    bool operator==(peer_source const&) const = default;
};

/// Where a node learns of changes of the rows.
using row_source = std::variant<store_source, peer_source>;

} // namespace peridot
