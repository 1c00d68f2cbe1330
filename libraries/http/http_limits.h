#pragma once

#include "core/time.h"

#include <cstddef>

namespace peridot {

/// Bounds on input from outside and on the time a connection may stay idle.
struct http_limits {
    std::size_t body_bytes = std::size_t{1024} * 1024;
    std::uint32_t header_bytes = 16U * 1024U;
    std::size_t connections = 4096;
    /// Requests of one connection that run at the same time.
    std::size_t pipelined_requests = 16;
    /// Time for the header of a request from its first byte.
    milliseconds header_timeout{60'000};
    /// Time for the rest of a request from the end of its header.
    milliseconds request_timeout{60'000};
    /// A server closes a connection that stays idle this long. Clients keep theirs for a shorter
    /// time, so that a request seldom meets a connection that is being closed.
    milliseconds idle_timeout{60'000};
};

} // namespace peridot
