#pragma once

#include "membership/endpoint_directory.h"

#include <cstddef>
#include <string_view>

namespace peridot {

/// Options for choosing the subset of endpoints that an entry node connects to.
struct endpoint_subset_options {
    /// Number of connections that an endpoint accepts from all entry nodes together.
    std::size_t connections_per_endpoint = 120;
    /// Number of connections that one entry node keeps open to one endpoint of its subset.
    std::size_t connections_per_pair = 1;
    /// Larger subsets hardly improve the choice between two random candidates, and idle
    /// connections use memory.
    std::size_t max_subset_size = 16;
};

/// Returns the number of endpoints per entry node that keeps all entry nodes together within the
/// endpoints' connection limits. Returns at least 1, even if this exceeds the limits.
std::size_t subset_size(std::size_t endpoints, std::size_t entry_nodes,
                        endpoint_subset_options const& options);

/// Returns the endpoints that the entry node connects to. Uses rendezvous hashing with a bound on
/// the number of entry nodes per endpoint, and prefers the local availability zone but includes at
/// least one endpoint outside it. Plain rendezvous hashing exceeds the bound by chance: with 860
/// entry nodes that choose two of 15 endpoints each, the mean is 115 entry nodes per endpoint and
/// the standard deviation 10. All nodes with the same member list compute the same assignment. The
/// cost is proportional to entry nodes times endpoints, so this is called only when the membership
/// changes.
endpoint_directory::member_list choose_subset(endpoint_directory::member_list const& endpoints,
                                              endpoint_directory::member_list const& entry_nodes,
                                              std::string_view local_instance,
                                              endpoint_subset_options const& options);

} // namespace peridot
