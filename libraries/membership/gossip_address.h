#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace peridot {

/// The IP address and UDP port at which a member receives datagrams.
struct gossip_address {
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(gossip_address const&) const = default;
    bool operator<(gossip_address const& other) const {
        return std::tie(this->ip, this->port) < std::tie(other.ip, other.port);
    }
};

} // namespace peridot
