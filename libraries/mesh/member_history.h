#pragma once

#include "mesh/member.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridot {

/// The member records that a node uses, of which the store may have lost some.
///
/// Within an era of the store, its records are used as they are. When the store comes back from a
/// copy, a record of the copy does not replace a later one of the same instance: a target that
/// drains or is gone does not become ready again, and a target that started later is the current
/// one. A record that the copy lacks stays in use until its node has written it again.
class member_history {
public:
    /// Takes all records of the store as of an era, and returns those to use.
    std::vector<member> update(std::vector<member> const& stored, std::uint64_t era);

private:
    struct known_member {
        member record;
        /// Position of the store's row that was taken into account last.
        store_revision seen;
    };

    void learn(member const& stored);

    std::map<std::string, known_member> by_instance;
};

/// Returns one record for each address: an address belongs to the node that registered it last.
std::vector<member> newest_by_address(std::vector<member> records);

} // namespace peridot
