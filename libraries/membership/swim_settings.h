#pragma once

#include "core/time.h"

#include <cstddef>

namespace peridot {

/// Timing and limits of the membership protocol. The defaults are those of docs/design.md.
struct swim_settings {
    /// Interval between scheduled probes; multiplied by the local health multiplier.
    milliseconds probe_period{1000};
    /// Time without an ack before indirect probes are sent; multiplied by the local health
    /// multiplier.
    milliseconds direct_timeout{300};
    std::size_t indirect_probes = 3;
    /// The shortest suspicion timeout is this times log10 of the member count; the longest is
    /// `suspicion_max_multiplier` times that.
    milliseconds suspicion_base{3000};
    unsigned suspicion_max_multiplier = 6;
    /// Number of independent confirmations that reduce a suspicion to its shortest timeout.
    std::size_t required_confirmations = 3;
    /// Maximum local health score; the probe period grows by at most this factor plus one.
    unsigned local_health_limit = 8;
    /// Each update is sent this many times log2 of the member count.
    unsigned retransmit_factor = 2;
    /// Number of members to which an urgent update is pushed in each of `push_rounds` ticks. With
    /// sixteen pushes by each member, a member is missed with probability e^-16, or e^-14 at 10 %
    /// loss.
    std::size_t push_fan_out = 4;
    unsigned push_rounds = 4;
    milliseconds digest_period{10'000};
    /// Interval between probes of dead members.
    milliseconds dead_probe_period{10'000};
    /// How long entries of dead and left members are retained.
    seconds tombstone_retention{86'400};
    /// A longer interval between ticks means that the process was frozen.
    milliseconds freeze_threshold{1000};
    /// Maximum number of members; more are rejected, so that forged records cannot exhaust memory.
    std::size_t members_limit = 4096;
    /// Maximum backoff between join attempts.
    milliseconds join_backoff_limit{10'000};
};

} // namespace peridot
