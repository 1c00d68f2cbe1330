#pragma once

#include <cstdint>

namespace peridot {

/// Whether a response received on a connection belongs to the current request.
enum class response_match : std::uint8_t {
    /// The response belongs to the current request.
    matched,
    /// The response belongs to an earlier request; that of the current request is still to follow.
    mismatched,
};

} // namespace peridot
