#pragma once

#include "core/time.h"
#include "http/connection_reuse.h"
#include "http/http_response.h"
#include "http/response_match.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace peridot {

/// Options of a request/response exchange.
struct exchange_options {
    connection_reuse reuse = connection_reuse::any;
    /// Timeout for establishing a connection; the deadline of the exchange also applies.
    milliseconds connect_timeout{60'000};
    /// Whether a response without a length, delimited by the close of the connection, is accepted
    /// as complete.
    bool accepts_close_delimited = false;
    /// A body that exceeds this size is returned as a stream. Without a value, every body is
    /// received whole, up to the limits of the pool.
    std::optional<std::size_t> whole_body_bytes;
    /// Detects responses that belong to an earlier request, by their header fields. If empty, every
    /// response is accepted as the response to the current request.
    std::function<response_match(http_response const&)> match;
};

} // namespace peridot
