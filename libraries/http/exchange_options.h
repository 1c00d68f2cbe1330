#pragma once

#include "core/time.h"
#include "http/connection_reuse.h"
#include "http/http_response.h"
#include "http/response_match.h"

#include <functional>

namespace peridot {

/// How an exchange uses its connection.
struct exchange_options {
    connection_reuse reuse = connection_reuse::any;
    /// Time to open a connection; the exchange's deadline bounds it too.
    milliseconds connect_timeout{60'000};
    /// Whether an answer without a length, which ends with its connection, is taken as whole.
    bool accepts_close_delimited = false;
    /// Tells the request's own answer from one that belongs to an earlier request. None takes every
    /// answer as the own one.
    std::function<response_match(http_response const&)> match;
};

} // namespace peridot
