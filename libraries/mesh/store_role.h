#pragma once

#include <cstdint>

namespace peridot {

/// What a node does for its availability zone while the store does not answer.
enum class store_role : std::uint8_t {
    /// Tries the store often and tells the others what it finds.
    leading,
    /// Relies on the leading nodes.
    relying,
};

} // namespace peridot
