#pragma once

#include "membership/endpoint_directory.h"

#include <cstddef>
#include <string_view>

namespace peridot {

/// Returns the members with the highest rendezvous hash (highest random weight) for a key, highest
/// first. Removing a member moves only its own keys. Every node with the same members computes the
/// same result.
endpoint_directory::member_list choose_by_rendezvous(endpoint_directory::member_list const& members,
                                                     std::string_view key, std::size_t count);

} // namespace peridot
