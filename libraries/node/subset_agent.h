#pragma once

#include "membership/endpoint_directory.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridot {

class membership_agent;
struct node_state;

/// Keeps the node's subsets of endpoints on the control thread. One subset costs about 2 ms at 860
/// members and 15 endpoints, which is too much for the request path, and all of 59 services at once
/// would hold up the control thread; so a change of membership is worked off a few subsets a tick.
/// Until its turn a service keeps its earlier subset, less the members that are gone.
class subset_agent {
public:
    subset_agent(node_state& state, membership_agent& members);

    /// Called about every 100 ms.
    void tick();

private:
    using subset_key = std::pair<std::string, std::string>;

    void list_services();

    node_state* state;
    membership_agent* members;
    std::shared_ptr<endpoint_directory const> directory;
    std::vector<subset_key> pending;
};

} // namespace peridot
