#pragma once

#include "core/socket_address.h"
#include "core/time.h"
#include "http/byte_budget.h"
#include "http/connection_reuse.h"
#include "http/exchange_failure.h"
#include "http/exchange_options.h"
#include "http/http_limits.h"
#include "http/http_request.h"
#include "http/http_response.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <variant>

namespace peridot {

/// HTTP/1.1 client with persistent connections. It runs on one io_context and must be used only
/// from that context's thread.
///
/// Only complete responses are returned. A connection whose exchange failed, timed out or was
/// cancelled is closed and not reused, so that a late response cannot be taken for the response to
/// another request.
class connection_pool {
public:
    using exchange_result = std::variant<http_response, exchange_failure>;

    /// The bodies of responses draw from the budget. At its bound, those that may be returned as a
    /// stream are.
    explicit connection_pool(boost::asio::io_context& context, http_limits limits = {},
                             std::size_t connections_per_address = 120,
                             byte_budget budget = byte_budget());
    ~connection_pool();
    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;
    connection_pool(connection_pool&&) = delete;
    connection_pool& operator=(connection_pool&&) = delete;

    /// Sends the request and waits for the complete response until the deadline.
    boost::asio::awaitable<exchange_result>
    exchange(socket_address address, http_request request, steady_time deadline,
             connection_reuse reuse = connection_reuse::any);

    /// Sends the request as above, with further options.
    boost::asio::awaitable<exchange_result> exchange(socket_address address, http_request request,
                                                     steady_time deadline,
                                                     exchange_options options);

    /// Returns the number of open connections to an address, including idle ones.
    std::size_t connections(socket_address const& address) const;

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
