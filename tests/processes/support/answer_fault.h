#pragma once

#include <cstdint>

namespace peridot::processes {

/// What a fake target does to its answers on the wire.
enum class answer_fault : std::uint8_t {
    none,
    /// Half of the body, then the connection is closed.
    truncated,
    /// Half of the body, then nothing.
    stalled,
    /// The whole answer, but only when it is released.
    late,
    /// Two requests wait for each other and get each other's answer.
    swapped,
    /// The answer twice.
    duplicated,
    /// Nothing; the connection stays open.
    silent,
    /// The connection is closed without an answer.
    closed,
};

} // namespace peridot::processes
