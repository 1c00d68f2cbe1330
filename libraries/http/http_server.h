#pragma once

#include "core/result.h"
#include "core/socket_address.h"
#include "http/byte_budget.h"
#include "http/http_limits.h"
#include "http/http_request.h"
#include "http/http_response.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace peridot {

/// HTTP/1.1 server on one io_context. Several servers on different threads may listen on the same
/// address; the kernel distributes incoming connections among them.
///
/// A handler that is still running when its client disconnects is cancelled: its pending operation
/// completes with operation_aborted, and the coroutine is unwound.
class http_server {
public:
    using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

    /// The bodies of requests draw from the budget. At its bound, a body that is being received is
    /// refused with 503, and its connection is closed.
    http_server(boost::asio::io_context& context, handler respond, http_limits limits = {},
                byte_budget budget = byte_budget());
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Binds the address and starts accepting connections; port 0 selects an ephemeral port.
    /// Returns the bound address.
    result<socket_address> listen(socket_address const& address);

    /// Closes the listening socket, and each connection after its pending responses. Idle
    /// connections stay open until close_idle_connections(), because a request may already be in
    /// transit on them.
    void stop_accepting();

    /// Closes each connection after its next response; new connections are still accepted.
    void close_after_next_response();

    /// Closes the connections without pending requests.
    void close_idle_connections();

    /// Cancels every handler that is still running. If a cancelled handler still returns a
    /// response, completed responses queued after it are delivered; otherwise its connection is
    /// closed.
    void cancel_handlers();

    /// Replaces the limits. They apply to all connections, including open ones, from the next
    /// request.
    void set_limits(http_limits const& limits);

    /// Returns the number of requests whose responses have not been written yet. Thread-safe.
    std::size_t requests_in_flight() const;

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
