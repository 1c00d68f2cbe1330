#pragma once

#include "mesh/member.h"

#include <string>
#include <unordered_map>

namespace peridot {

/// Targets that nodes reported after a request was addressed to an earlier target.
///
/// When all targets are replaced at once, for example after a power loss, the new ones accept
/// requests before their records have spread. A node that refuses a request as misdirected includes
/// its current target in the refusal, and requests are sent to that target until the record
/// arrives.
class target_corrections {
public:
    /// Records the actual target of a member in place of the recorded one. Returns false if it
    /// cannot replace the recorded one: it must be ready, newer, and of the same service and
    /// version, since shares of requests are assigned to versions by the records.
    bool record(member const& recorded, target_record const& actual_target);

    /// Returns the member with its actual target, if that is known. A newer record overrides the
    /// correction.
    member apply(member const& recorded) const;

private:
    struct correction {
        store_revision revision;
        target_record actual_target;
    };

    std::unordered_map<std::string, correction> by_instance;
};

} // namespace peridot
