#pragma once

#include "membership/member_record.h"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace peridot {

/// Immutable index of the members that can serve requests, published to the request path through
/// rcu_cell. The control thread rebuilds it whenever membership changes.
class endpoint_directory {
public:
    using member_pointer = std::shared_ptr<member_record const>;
    using member_list = std::vector<member_pointer>;

    /// Builds the index from the live members; only those in state serving become endpoints.
    explicit endpoint_directory(std::vector<member_record> const& alive);

    /// Returns the serving endpoints of a service's target version, ordered by instance name; empty
    /// if there are none.
    member_list const& endpoints(std::string_view service, std::string_view target_version) const;

    /// Returns all live members in any state, ordered by instance name.
    member_list const& members() const { return this->alive_members; }

private:
    member_list alive_members;
    std::map<std::string, std::map<std::string, member_list, std::less<>>, std::less<>> by_service;
};

} // namespace peridot
