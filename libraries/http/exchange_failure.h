#pragma once

#include "core/error.h"
#include "http/exchange_progress.h"

namespace peridot {

/// The reason why an exchange returned no complete response, and whether the server may have
/// received the request.
struct exchange_failure {
    error reason;
    exchange_progress progress = exchange_progress::sent;
};

} // namespace peridot
