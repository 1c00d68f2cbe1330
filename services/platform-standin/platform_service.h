#pragma once

#include "http/http_request.h"
#include "http/http_response.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace peridot {

/// Implements the platform's HTTP interface, which is specified in docs/platform-interface.md.
class platform_service {
public:
    explicit platform_service(boost::asio::io_context& context);
    ~platform_service();
    platform_service(platform_service const&) = delete;
    platform_service& operator=(platform_service const&) = delete;
    platform_service(platform_service&&) = delete;
    platform_service& operator=(platform_service&&) = delete;

    boost::asio::awaitable<http_response> respond(http_request request);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
