#pragma once

#include "core/time.h"
#include "http/connection_reuse.h"
#include "http/http_response.h"
#include "http/response_match.h"

#include <functional>

namespace peridot {

/// Options of a request/response exchange.
struct exchange_options {
    connection_reuse reuse = connection_reuse::any;
    /// Timeout for establishing a connection; the deadline of the exchange also applies.
    milliseconds connect_timeout{60'000};
    /// Whether a response without a length, delimited by the close of the connection, is accepted
    /// as complete.
    bool accepts_close_delimited = false;
    /// Detects responses that belong to an earlier request. If empty, every response is accepted as
    /// the response to the current request.
    std::function<response_match(http_response const&)> match;
};

} // namespace peridot
