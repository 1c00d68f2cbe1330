#pragma once

#include "core/socket_address.h"

#include <memory>
#include <string>

namespace peridot::http_tests {

/// Accepts one connection, reads the first bytes of a request, writes the given bytes verbatim and
/// closes the connection.
class raw_server {
public:
    explicit raw_server(std::string response);
    ~raw_server();
    raw_server(raw_server const&) = delete;
    raw_server& operator=(raw_server const&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;

    socket_address address() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot::http_tests
