#pragma once

#include "http/http_request.h"
#include "http/http_response.h"
#include "settings/target_settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace peridot {

/// Request handling of the stand-in: executes requests in its slots, records the executions and
/// injects the configured faults.
class target_service {
public:
    target_service(boost::asio::io_context& context, target_settings const& settings);
    ~target_service();
    target_service(target_service const&) = delete;
    target_service& operator=(target_service const&) = delete;
    target_service(target_service&&) = delete;
    target_service& operator=(target_service&&) = delete;

    boost::asio::awaitable<http_response> respond(http_request request);

    /// Returns the state that the target announces: ready or draining.
    std::string announced_state() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
