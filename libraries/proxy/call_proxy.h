#pragma once

#include "http/http_request.h"
#include "http/http_response.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace peridot {

struct worker_context;

/// Entry side of the request path: takes a caller's request to a node beside a target, and retries
/// where that is safe. One per worker.
class call_proxy {
public:
    /// The context must outlive the proxy.
    explicit call_proxy(worker_context const& context);
    ~call_proxy();
    call_proxy(call_proxy const&) = delete;
    call_proxy& operator=(call_proxy const&) = delete;
    call_proxy(call_proxy&&) = delete;
    call_proxy& operator=(call_proxy&&) = delete;

    boost::asio::awaitable<http_response> respond(http_request request);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
