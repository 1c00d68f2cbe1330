#pragma once

#include <cstdint>

namespace peridot {

/// A number of calls, and how many of them failed or were slow.
struct event_sample {
    std::uint64_t calls = 0;
    std::uint64_t events = 0;
};

/// Adds each count of the right operand to the left.
inline event_sample& operator+=(event_sample& left, event_sample const& right) {
    left.calls += right.calls;
    left.events += right.events;
    return left;
}

/// The part of the calls that are events; 0 without calls.
inline double rate(event_sample const& sample) {
    return sample.calls == 0
               ? 0
               : static_cast<double>(sample.events) / static_cast<double>(sample.calls);
}

} // namespace peridot
