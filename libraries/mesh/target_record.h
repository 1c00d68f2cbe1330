#pragma once

#include "core/time.h"
#include "mesh/target_state.h"

#include <cstdint>
#include <string>

namespace peridot {

/// What is known of the target beside a node, in the order in which it said it.
struct target_record {
    /// The target's own id; a restarted target may keep it.
    std::string id;
    /// "ip:port" as the target announced it; not part of what other nodes need.
    std::string address;
    std::string service;
    std::string version;
    std::string availability_zone;
    unsigned slots = 1;
    target_state state = target_state::ready;
    /// Start of the target's process, in milliseconds of its own time of day.
    std::int64_t started_ms = 0;
    /// Number of the announcement within one process.
    std::uint64_t sequence = 0;
    /// How much longer the target is slow after its start.
    milliseconds warm_up_remaining{0};

    bool operator==(target_record const&) const = default;
};

} // namespace peridot
