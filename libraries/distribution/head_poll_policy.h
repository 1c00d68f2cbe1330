#pragma once

#include "core/random_source.h"
#include "core/time.h"

#include <cstddef>
#include <optional>

namespace peridot {

/// What the decision to read the platform's head depends on.
struct head_poll_situation {
    bool is_watcher = false;
    /// No value if the platform is not known to have confirmed the held version.
    std::optional<milliseconds> confirmation_age;
    std::size_t members = 1;
};

/// Decides when a node reads the platform's head. A watcher reads every 250 ms. Another node reads
/// only when the last confirmation is older than a bound. Failed reads cause backoff with full
/// jitter.
class head_poll_policy {
public:
    /// Age beyond which a node that is no watcher reads by itself. Gossip takes a time that grows
    /// with log N to bring a confirmation to every member.
    static milliseconds confirmation_bound(std::size_t members);

    /// Whether to read now. The first read of a process is due at once.
    bool is_due(head_poll_situation const& situation, steady_time now, random_source& random);

    /// The platform answered.
    void record_success(steady_time now);

    /// The platform did not answer, or the version it named could not be applied.
    void record_failure(steady_time now, random_source& random);

private:
    steady_time next_read;
    /// When a stale confirmation makes this node read; spread so that not all nodes read at once.
    std::optional<steady_time> stale_read;
    steady_time failed_at;
    /// Delay after the last failure as a part of the longest allowed, in 0 to 1.
    double jitter = 0;
    unsigned failures = 0;
};

} // namespace peridot
