#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace peridot {

/// Payload of another subsystem, carried in a membership datagram.
struct attachment {
    std::uint32_t kind = 0;
    std::string content;
};

/// Maximum content size of one attachment; reserves space for the datagram header.
inline constexpr std::size_t max_attachment_bytes = 900;

} // namespace peridot
