#pragma once

#include "http/http_request.h"
#include "http/http_response.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace peridot {

struct worker_context;

/// Target side of the request path: takes a request of another node to the target beside this one,
/// when one of the target's slots is free. One per worker.
class target_proxy {
public:
    /// The context must outlive the proxy.
    explicit target_proxy(worker_context const& context);
    ~target_proxy();
    target_proxy(target_proxy const&) = delete;
    target_proxy& operator=(target_proxy const&) = delete;
    target_proxy(target_proxy&&) = delete;
    target_proxy& operator=(target_proxy&&) = delete;

    boost::asio::awaitable<http_response> respond(http_request request);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
