#pragma once

#include "membership/member_state.h"

#include <cstdint>
#include <string>

namespace peridot {

/// State that a node announces about itself and its local target. That node is the only writer.
struct member_record {
    std::string instance;
    /// Revision of the member's row, so that a replacement supersedes the former incarnation.
    std::uint64_t incarnation = 0;
    /// Incremented by the owner on each change of the record within one incarnation.
    std::uint64_t sequence = 0;
    std::string ip;
    std::uint16_t peer_port = 0;
    std::uint16_t gossip_port = 0;
    std::string availability_zone;
    std::string region;
    /// Empty when the node has no target.
    std::string service;
    std::string target_version;
    member_state state = member_state::starting;
    /// Maximum number of concurrent requests of the target.
    std::uint32_t slots = 0;

    bool operator==(member_record const&) const = default;
};

/// Returns whether `left` is newer than `right`, a record of the same instance.
inline bool supersedes(member_record const& left, member_record const& right) {
    return left.incarnation != right.incarnation ? left.incarnation > right.incarnation
                                                 : left.sequence > right.sequence;
}

} // namespace peridot
