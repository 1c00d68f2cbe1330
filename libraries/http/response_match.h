#pragma once

#include <cstdint>

namespace peridot {

/// What a client finds out about an answer that arrives on its connection.
enum class response_match : std::uint8_t {
    /// The answer belongs to the request.
    matched,
    /// The answer belongs to an earlier request; the own one is still to come.
    mismatched,
};

} // namespace peridot
