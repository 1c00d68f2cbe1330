#pragma once

#include "core/time.h"
#include "mesh/target_state.h"

#include <cstdint>
#include <string>

namespace peridot {

/// A record that claims more slots is malformed.
inline constexpr unsigned max_target_slots = 100'000;

/// State of a node's target, from the newest of its announcements.
struct target_record {
    /// Id that the target announces; a restarted target may keep it.
    std::string id;
    /// "ip:port" as announced by the target; not sent to other nodes.
    std::string address;
    std::string service;
    std::string version;
    std::string availability_zone;
    unsigned slots = 1;
    target_state state = target_state::ready;
    /// Start time of the target's process in milliseconds, on the target's own clock.
    std::int64_t started_ms = 0;
    /// Sequence number of the announcement within one process.
    std::uint64_t sequence = 0;
    /// Remaining warm-up time, during which the target is slow after its start.
    milliseconds warm_up_remaining{0};

    bool operator==(target_record const&) const = default;
};

/// Whether both records come from the same start of a target, which may keep its id when restarted.
inline bool is_same_process(target_record const& first, target_record const& second) {
    return first.id == second.id && first.started_ms == second.started_ms;
}

} // namespace peridot
