#pragma once

#include "http/http_response.h"
#include "http/http_version.h"

#include <boost/asio/cancellation_signal.hpp>

#include <optional>

namespace peridot::detail {

/// A request of a connection and its position in the response order.
struct pending_exchange {
    std::optional<http_response> response;
    bool is_done = false;
    bool keeps_alive = true;
    bool is_head = false;
    unsigned version = http_version_1_1;
    boost::asio::cancellation_signal cancel;
};

} // namespace peridot::detail
