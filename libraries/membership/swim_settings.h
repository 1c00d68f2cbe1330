#pragma once

#include "core/time.h"

#include <cstddef>

namespace peridot {

/// Timing and bounds of the membership protocol. The defaults are those of docs/design.md.
struct swim_settings {
    /// Between two scheduled probes; multiplied by the local health.
    milliseconds probe_period{1000};
    /// Until helpers are asked; multiplied by the local health.
    milliseconds direct_timeout{300};
    std::size_t indirect_probes = 3;
    /// Shortest suspicion is this times log10 of the members; the longest is a multiple of it.
    milliseconds suspicion_base{3000};
    unsigned suspicion_max_multiplier = 6;
    /// Independent confirmations that bring a suspicion down to its shortest time.
    std::size_t required_confirmations = 3;
    /// Highest local health score; the probe period grows by at most this factor plus one.
    unsigned local_health_limit = 8;
    /// An update is sent this times log2 of the members.
    unsigned retransmit_factor = 2;
    /// Members that an urgent update is pushed to in each of `push_rounds` ticks. Sixteen pushes
    /// by each member leave one out with probability e^-16, or e^-14 at 10 % loss.
    std::size_t push_fan_out = 4;
    unsigned push_rounds = 4;
    milliseconds digest_period{10'000};
    /// Between two probes of members believed dead.
    milliseconds dead_probe_period{10'000};
    /// How long dead and left members are remembered.
    seconds tombstone_retention{86'400};
    /// A longer time between ticks means that the process was stopped.
    milliseconds freeze_threshold{1000};
    /// Members beyond this are refused, so that forged records cannot exhaust memory.
    std::size_t members_limit = 4096;
    /// Longest pause between two attempts to join.
    milliseconds join_backoff_limit{10'000};
};

} // namespace peridot
