#pragma once

#include "core/time.h"
#include "membership/liveness.h"
#include "membership/member_record.h"

#include <string>

namespace peridot {

/// One claim about the state of a member, disseminated by gossip.
struct member_update {
    /// A claim of suspicion or death requires only instance, incarnation and sequence.
    member_record record;
    liveness state = liveness::alive;
    /// The member that raised the suspicion; empty unless the state is suspect.
    std::string accuser;
    /// How long the member has been dead or left in the sender's table.
    seconds gone_for{0};
};

/// Returns whether the update carries the complete record and not only its version.
inline bool has_details(member_update const& update) {
    return !update.record.ip.empty();
}

} // namespace peridot
