#pragma once

#include <cstdint>

namespace peridot {

/// How the transfer of a body has ended.
enum class body_outcome : std::uint8_t {
    complete,
    /// The sender has failed before the end of the body.
    failed,
    /// The reader has stopped before the end of the body.
    abandoned,
};

} // namespace peridot
