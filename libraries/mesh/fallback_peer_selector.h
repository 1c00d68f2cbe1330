#pragma once

#include "core/random_source.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace peridot {

struct fleet_view;

/// Chooses nodes to ask for rows while the store does not serve this node and no follower of it is
/// known: any node may know more. Most questions stay in the own availability zone; some go to any
/// node that was ever heard of, since the whole zone may be cut off or unknown.
class fallback_peer_selector {
public:
    fallback_peer_selector(std::string local_ip, std::string availability_zone);

    /// Learns of a node that may be asked.
    void add_contact(std::string const& ip);

    /// The address of the next node to ask; no value while none is known. The view may be null.
    std::optional<std::string> next(fleet_view const* view, random_source& random);

private:
    std::string local_ip;
    std::string availability_zone;
    std::set<std::string> contacts;
    unsigned selections = 0;
};

} // namespace peridot
