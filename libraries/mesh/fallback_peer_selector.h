#pragma once

#include "core/random_source.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace peridot {

struct fleet_view;

/// Selects nodes to request rows from while the store does not serve this node and no follower of
/// the store is known.
///
/// Any node may hold newer rows. Most requests stay within the node's availability zone; some go to
/// any node whose address was ever received, since the whole zone may be partitioned or unknown.
class fallback_peer_selector {
public:
    fallback_peer_selector(std::string local_ip, std::string availability_zone);

    /// Adds the address of a node that may be selected.
    void add_contact(std::string const& ip);

    /// Returns the address of the next node, or no value if none is known. The view may be null.
    std::optional<std::string> next(fleet_view const* view, random_source& random);

private:
    std::string local_ip;
    std::string availability_zone;
    std::set<std::string> contacts;
    unsigned selections = 0;
};

} // namespace peridot
