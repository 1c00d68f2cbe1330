#pragma once

#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"
#include "http/http_request.h"
#include "http/http_response.h"

#include <boost/asio/awaitable.hpp>

namespace peridot {

class connection_pool;

namespace detail {

/// Sends a request to the platform and returns the response. Connection failures, throttling (429)
/// and server errors (5xx) are returned as errors.
boost::asio::awaitable<result<http_response>> exchange_with_platform(connection_pool& connections,
                                                                     socket_address service,
                                                                     http_request request,
                                                                     steady_time deadline);

} // namespace detail
} // namespace peridot
