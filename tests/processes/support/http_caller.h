#pragma once

#include "core/socket_address.h"
#include "core/time.h"
#include "http/connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace peridot::processes {

/// A blocking HTTP client that sends one request at a time.
class http_caller {
public:
    connection_pool::exchange_result exchange(socket_address const& address, http_request request);
    /// Returns the answer; none if no complete answer arrived.
    std::optional<http_response> call(socket_address const& address, http_request request);
    /// Sends a GET request and returns the JSON body of a 200 answer; null otherwise.
    boost::json::value get(socket_address const& address, std::string target);
    /// Sends a request with a JSON body. Returns whether the answer has a 2xx status.
    bool put(socket_address const& address, std::string target, boost::json::value const& body,
             std::string method = "PUT");

private:
    boost::asio::io_context context;
    connection_pool connections{context};
};

} // namespace peridot::processes
