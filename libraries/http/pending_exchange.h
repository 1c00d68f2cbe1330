#pragma once

#include "http/http_response.h"
#include "http/http_version.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include <memory>
#include <optional>

namespace peridot {
class byte_draw;
}

namespace peridot::detail {

/// A request of a connection and its position in the response order.
struct pending_exchange {
    std::optional<http_response> response;
    bool is_done = false;
    bool keeps_alive = true;
    bool is_head = false;
    unsigned version = http_version_1_1;
    boost::asio::cancellation_signal cancel;
    /// Accounts for the memory of the request's body; null if it has none.
    std::shared_ptr<byte_draw> body_draw;
};

/// Cancels the handler of a request on the executor that runs it. Outside of that executor's thread
/// the cancellation is posted, and the exchange is kept until then.
void cancel_handler(boost::asio::any_io_executor const& executor,
                    std::shared_ptr<pending_exchange> const& exchange);

} // namespace peridot::detail
