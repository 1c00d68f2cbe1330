#pragma once

#include "core/time.h"

#include <cstddef>

namespace peridot {

/// Decides when a node that stops as planned may end. It waits until the other nodes have learned
/// of it, then for a time without any request: a caller that has just read its last answer may ask
/// again at once, and is to be refused rather than to find nobody or a connection that is reset.
class drain_watch {
public:
    struct times {
        /// Time in which the other nodes learn that this one is leaving.
        milliseconds notice{2000};
        /// Time without a request in flight before the node ends.
        milliseconds quiet{500};
        /// Longest time that requests in flight get.
        milliseconds longest{10'000};
    };

    drain_watch(times bounds, steady_time started)
        : bounds(bounds), started(started), last_busy(started) {}

    /// Takes note of the requests whose answers are not written yet.
    void record(std::size_t in_flight, steady_time now);
    bool is_over(steady_time now) const;

private:
    times bounds;
    steady_time started;
    steady_time last_busy;
};

} // namespace peridot
