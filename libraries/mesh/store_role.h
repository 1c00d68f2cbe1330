#pragma once

#include <cstdint>

namespace peridot {

/// Role of a node in its availability zone while the store does not respond.
enum class store_role : std::uint8_t {
    /// Retries the store frequently and forwards its rows to the other nodes.
    leading,
    /// Depends on the leading nodes and retries the store rarely.
    relying,
};

} // namespace peridot
