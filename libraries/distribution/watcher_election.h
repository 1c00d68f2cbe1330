#pragma once

#include "membership/endpoint_directory.h"

#include <cstddef>
#include <string_view>

namespace peridot {

/// Nodes of each availability zone that poll the platform's head, so that the platform's load does
/// not depend on the size of the fleet and one of them may fail unnoticed.
inline constexpr std::size_t watchers_per_zone = 2;

/// The watchers of a zone by rendezvous hashing over its live members. Members that leave are only
/// chosen if there are no others. Nodes that see different members may disagree; that costs reads
/// or time, never correctness.
endpoint_directory::member_list elect_watchers(endpoint_directory::member_list const& members,
                                               std::string_view availability_zone);

/// Whether the instance is a watcher of the zone.
bool is_watcher(endpoint_directory::member_list const& members, std::string_view availability_zone,
                std::string_view instance);

} // namespace peridot
