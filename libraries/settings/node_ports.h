#pragma once

#include <cstdint>

namespace peridot {

/// The ports that a node listens on; 0 selects an ephemeral port.
struct node_ports {
    /// HTTP requests from callers.
    std::uint16_t calls = 0;
    /// HTTP requests from other nodes, and transfer of bulk state.
    std::uint16_t peers = 0;
    /// UDP datagrams of the membership protocol.
    std::uint16_t gossip = 0;
    /// HTTP requests from operators and from the target on the same instance.
    std::uint16_t admin = 0;
};

} // namespace peridot
