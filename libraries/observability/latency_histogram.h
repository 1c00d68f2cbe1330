#pragma once

#include "core/time.h"
#include "observability/latency_snapshot.h"

#include <memory>

namespace peridot {

/// Counts durations in logarithmic bins from 50 us to 60 s; each bin is 1.26 times as wide as the
/// previous one. Thread-safe and lock-free.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram const&) = delete;
    latency_histogram& operator=(latency_histogram const&) = delete;
    latency_histogram(latency_histogram&&) = delete;
    latency_histogram& operator=(latency_histogram&&) = delete;

    void record(nanoseconds duration);

    /// Returns the current counts. Durations recorded during the call may or may not be included.
    latency_snapshot snapshot() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
