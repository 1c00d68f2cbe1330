#pragma once

#include <cstdint>

namespace peridot {

/// The outcome of a call as evidence about the target that served it.
enum class call_outcome : std::uint8_t {
    succeeded,
    /// The target failed: an error response, a broken connection, or no response by the deadline.
    failed,
    /// The caller left before there was an answer. How long it waited is known.
    abandoned,
    /// Refused by a limit, shed or not executed; not counted.
    not_judged,
};

} // namespace peridot
