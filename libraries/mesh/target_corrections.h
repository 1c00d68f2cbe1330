#pragma once

#include "mesh/member.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace peridot {

/// Targets that nodes told of when a request was meant for an earlier one.
///
/// It answers the seconds after all targets have been replaced at once, as by a loss of power: the
/// new ones take requests before the records of them have spread. A node that refuses a request as
/// misdirected says which target it has, and requests go there until the record arrives.
class target_corrections {
public:
    /// Takes note of the target that is there instead of the recorded one. False if it cannot take
    /// the recorded one's place: it must be ready, newer, and of the same service and version,
    /// since shares of requests are given to versions by the records.
    bool record(member const& recorded, target_record const& actual_target);

    /// The member with the target that is there, as far as known. A newer record counts by itself.
    member apply(member const& recorded) const;

private:
    struct correction {
        std::uint64_t revision = 0;
        target_record actual_target;
    };

    std::unordered_map<std::string, correction> by_instance;
};

} // namespace peridot
