#pragma once

#include <cstdint>

namespace peridot {

/// What a client finds out about an answer that arrives on its connection.
enum class answer_match : std::uint8_t {
    /// The answer belongs to the request.
    own,
    /// The answer belongs to an earlier request; the own one is still to come.
    foreign,
};

} // namespace peridot
