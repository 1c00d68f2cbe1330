#pragma once

#include "core/result.h"
#include "core/socket_address.h"
#include "http/http_limits.h"
#include "http/http_request.h"
#include "http/http_response.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace peridot {

/// HTTP/1.1 server on one io_context. Several servers on different threads may listen on the same
/// address; the kernel spreads the connections among them.
///
/// A handler that is still running when its caller disconnects is cancelled: its pending operation
/// ends with operation_aborted, and the coroutine is unwound.
class http_server {
public:
    using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

    http_server(boost::asio::io_context& context, handler respond, http_limits limits = {});
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Binds and starts to accept; port 0 lets the system pick. Returns the address bound to.
    result<socket_address> listen(socket_address const& address);

    /// Closes the listening socket, and each connection after its current answer. Connections that
    /// are idle stay open until close_idle_connections(), since a request may be on its way on
    /// them.
    void stop_accepting();

    /// Ends each connection with its next answer; new connections are still taken.
    void close_after_next_response();

    /// Closes the connections that wait for a request.
    void close_idle_connections();

    /// Cancels every handler that is still running. A handler that returns an answer nonetheless
    /// lets the answers that are ready behind it reach their caller; one that does not ends its
    /// connection.
    void cancel_handlers();

    /// Puts other bounds in force for all connections, from their next request on.
    void set_limits(http_limits const& limits);

    /// Requests whose answers are not written yet; safe from any thread.
    std::size_t requests_in_flight() const;

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
