#pragma once

#include "core/socket_address.h"

#include <cstddef>
#include <memory>

namespace peridot::http_tests {

/// A faulty server that writes bytes without end on each connection until the client closes it, in
/// a different form on each: no HTTP, lines, header fields, interim responses, chunks and bodies.
class endless_server {
public:
    /// Listens on the address; port 0 selects an ephemeral port.
    explicit endless_server(socket_address const& address);
    ~endless_server();
    endless_server(endless_server const&) = delete;
    endless_server& operator=(endless_server const&) = delete;
    endless_server(endless_server&&) = delete;
    endless_server& operator=(endless_server&&) = delete;

    socket_address address() const;
    /// Number of connections, and of bytes written on all of them.
    std::size_t connections() const;
    std::size_t written_bytes() const;
    /// Number of forms.
    static std::size_t forms();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::http_tests
