#pragma once

#include "core/time.h"
#include "http/pending_exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <memory>
#include <string>

namespace peridot::detail {

struct server_connections;

/// A connection of a client to a server and the requests on it that have no written response yet.
/// It is counted among the server's connections for the lifetime of the object.
class server_connection {
public:
    server_connection(std::shared_ptr<server_connections> all, boost::asio::ip::tcp::socket socket);
    ~server_connection();
    server_connection(server_connection const&) = delete;
    server_connection& operator=(server_connection const&) = delete;
    server_connection(server_connection&&) = delete;
    server_connection& operator=(server_connection&&) = delete;

    void push(std::shared_ptr<pending_exchange> exchange);
    /// Removes the oldest exchange after its response was written.
    void pop();
    bool is_idle() const { return this->pending.empty() && !this->is_receiving; }
    /// Whether the client has already closed the connection, for example while this process was
    /// suspended.
    bool has_disconnected();
    /// Cancels the handlers of all pending requests; their responses cannot be delivered any more.
    void cancel_handlers();
    void notify() { this->state_changed.cancel(); }
    void close();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::deque<std::shared_ptr<pending_exchange>> pending;
    boost::asio::steady_timer state_changed;
    steady_time last_used = std::chrono::steady_clock::now();
    bool is_receiving = false;
    bool has_stopped_reading = false;
    bool is_closed = false;
    /// Whether a request was refused while its body was being received.
    bool is_refused = false;
    /// Address of the client.
    std::string address;

private:
    void cancel_body();

    std::shared_ptr<server_connections> all;
};

} // namespace peridot::detail
