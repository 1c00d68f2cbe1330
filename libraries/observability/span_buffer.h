#pragma once

#include "observability/span.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace peridot {

/// Buffers finished spans for export to the collector, in one bounded ring buffer per worker.
///
/// Each ring buffer has a single producer, its worker, and a single consumer, the control thread;
/// neither blocks. A span is dropped and counted if the ring buffer is full, so that an unavailable
/// collector affects neither memory usage nor latency.
class span_buffer {
public:
    span_buffer(std::size_t workers, std::size_t spans_per_worker);
    ~span_buffer();
    span_buffer(span_buffer const&) = delete;
    span_buffer& operator=(span_buffer const&) = delete;
    span_buffer(span_buffer&&) = delete;
    span_buffer& operator=(span_buffer&&) = delete;

    /// Buffers the span if its trace is sampled. Must only be called by the worker with this index.
    void record(std::size_t worker, span finished);

    /// Removes and returns at most `limit` spans. Must only be called by one thread.
    std::vector<span> drain(std::size_t limit);

    /// Returns the number of spans dropped because a ring buffer was full.
    std::uint64_t dropped() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
