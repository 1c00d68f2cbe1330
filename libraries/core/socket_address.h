#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

/// A textual IP address and a port.
struct socket_address {
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(socket_address const&) const = default;
    auto operator<=>(socket_address const&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Formats the address as "ip:port"; an IPv6 address is enclosed in brackets.
std::string to_string(socket_address const& address);

/// Parses "ip:port"; the IP address must be numeric.
result<socket_address> parse_socket_address(std::string_view text);

} // namespace peridot
