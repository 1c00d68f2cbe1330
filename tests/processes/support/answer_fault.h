#pragma once

#include <cstdint>

namespace peridot::processes {

/// The fault that a fake target applies to its answers on the wire.
enum class answer_fault : std::uint8_t {
    none,
    /// Part of the answer is sent, then the connection is closed.
    truncated,
    /// Part of the answer is sent; the connection stays open.
    stalled,
    /// The complete answer is sent, but only after `release()`.
    late,
    /// Two concurrent requests each receive the other's answer.
    swapped,
    /// The answer is sent twice.
    duplicated,
    /// No answer is sent; the connection stays open.
    silent,
    /// The connection is closed without an answer.
    closed,
};

} // namespace peridot::processes
