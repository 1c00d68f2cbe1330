#pragma once

#include "core/socket_address.h"
#include "http/http_server.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace peridot::http_tests {

/// Runs an http_server on a dedicated thread.
class server_thread {
public:
    server_thread();
    ~server_thread();
    server_thread(server_thread const&) = delete;
    server_thread& operator=(server_thread const&) = delete;
    server_thread(server_thread&&) = delete;
    server_thread& operator=(server_thread&&) = delete;

    socket_address start(http_server::handler respond, http_limits limits = {},
                         byte_budget const& budget = byte_budget());
    boost::asio::io_context& io();
    std::size_t requests_in_flight();
    /// Must only be used on the server's thread.
    http_server& server();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::http_tests
