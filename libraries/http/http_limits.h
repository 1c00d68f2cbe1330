#pragma once

#include "core/time.h"

#include <cstddef>

namespace peridot {

/// Limits on untrusted input and on the idle time of connections.
struct http_limits {
    std::size_t body_bytes = std::size_t{1024} * 1024;
    std::uint32_t header_bytes = 16U * 1024U;
    /// Maximum size of all response bodies that a client receives at the same time. Servers that
    /// write bodies without end could otherwise exhaust the memory together.
    std::size_t received_bytes = std::size_t{32} * 1024 * 1024;
    std::size_t connections = 4096;
    /// Whether a server at its limit of connections closes the one that has been idle the longest
    /// for a new one, instead of closing the new one.
    bool replaces_idle_connections = false;
    /// Maximum number of pipelined requests processed concurrently per connection.
    std::size_t pipelined_requests = 16;
    /// Timeout for receiving the header of a request, from its first byte.
    milliseconds header_timeout{60'000};
    /// Timeout for receiving the body of a request, from the end of its header.
    milliseconds request_timeout{60'000};
    /// A server closes a connection after this idle time. Clients use a shorter idle timeout, so
    /// that a request is rarely sent on a connection that the server is closing.
    milliseconds idle_timeout{60'000};
};

} // namespace peridot
