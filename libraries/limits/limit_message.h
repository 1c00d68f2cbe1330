#pragma once

#include "core/result.h"
#include "limits/limit_demand.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Datagrams stay below the fragmentation limit of common links.
inline constexpr std::size_t largest_limit_datagram = 1100;

/// One datagram between an entry node and a divider, many limits in one.
struct limit_message {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<limit_demand> demands;
    std::vector<limit_share> shares;
};

/// Encodes the message as datagrams of at most largest_limit_datagram bytes. They carry the
/// sequence numbers from that of the message on, one each.
std::vector<std::string> encode_limit_message(limit_message const& message);

/// Decodes one datagram; datagram_malformed for bytes that are no message or hold values out of
/// range, such as a rate that is no number.
result<limit_message> decode_limit_message(std::string_view bytes);

} // namespace peridot
