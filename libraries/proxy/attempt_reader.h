#pragma once

#include "http/connection_pool.h"
#include "proxy/attempt_result.h"

#include <string_view>

namespace peridot {

/// Reads what an exchange with another node says about the attempt: whether the request ran, what
/// the caller gets, and what it shows about the endpoint.
attempt_result read_attempt_result(connection_pool::exchange_result outcome,
                                   std::string_view request_id, unsigned attempt);

} // namespace peridot
