#pragma once

#include "membership/endpoint_directory.h"

#include <cstddef>
#include <string_view>

namespace peridot {

/// Settings of the subset of endpoints that an entry node connects to.
struct endpoint_subset_options {
    /// Connections that an endpoint accepts from entry nodes.
    std::size_t connections_per_endpoint = 120;
    /// Connections that one entry node keeps open to one endpoint of its subset.
    std::size_t connections_per_pair = 1;
    /// Two random choices gain little from more candidates, and idle connections cost memory.
    std::size_t max_subset_size = 16;
};

/// Endpoints per entry node, so that all entry nodes together stay within the connections. At
/// least 1, also when the connections do not suffice for that.
std::size_t subset_size(std::size_t endpoints, std::size_t entry_nodes,
                        endpoint_subset_options const& options);

/// The endpoints that the entry node connects to: rendezvous hashing with a bound on the entry
/// nodes per endpoint, the own availability zone first but with at least one endpoint outside it.
/// Plain rendezvous hashing exceeds the bound by chance: with 860 entry nodes and two of 15
/// endpoints each, the mean is 115 and the deviation 10. Every node with the same members computes
/// the same division. Costs entry nodes times endpoints, so it runs on a change of membership.
endpoint_directory::member_list choose_subset(endpoint_directory::member_list const& endpoints,
                                              endpoint_directory::member_list const& entry_nodes,
                                              std::string_view local_instance,
                                              endpoint_subset_options const& options);

} // namespace peridot
