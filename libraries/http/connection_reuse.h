#pragma once

#include <cstdint>

namespace peridot {

/// Which connections an exchange may use.
enum class connection_reuse : std::uint8_t {
    /// Any idle connection. For requests that can be retried if the exchange fails.
    any,
    /// Only a recently used idle connection or a new one. For requests that must not be sent twice:
    /// the server may already be closing a connection that has been idle for longer.
    recent_only,
};

} // namespace peridot
