#include "http/pending_exchange.h"

#include <boost/asio/dispatch.hpp>

namespace peridot::detail {

void cancel_handler(boost::asio::any_io_executor const& executor,
                    std::shared_ptr<pending_exchange> const& exchange) {
    boost::asio::dispatch(
        executor, [exchange] { exchange->cancel.emit(boost::asio::cancellation_type::terminal); });
}

} // namespace peridot::detail
