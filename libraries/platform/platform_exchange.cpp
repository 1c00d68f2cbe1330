#include "platform/platform_exchange.h"

#include "http/connection_pool.h"

namespace peridot::detail {

boost::asio::awaitable<result<http_response>> exchange_with_platform(connection_pool& connections,
                                                                     socket_address service,
                                                                     http_request request,
                                                                     steady_time deadline) {
    auto outcome = co_await connections.exchange(std::move(service), std::move(request), deadline);
    if (auto const* failed = std::get_if<exchange_failure>(&outcome)) {
        bool const is_sent = failed->progress == exchange_progress::sent;
        co_return error{is_sent ? result_code::platform_answer_lost
                                : result_code::platform_unavailable,
                        failed->reason.message};
    }
    auto& response = std::get<http_response>(outcome);
    if (response.status == 429) {
        co_return error{result_code::platform_throttled,
                        "the platform throttles requests (status 429)"};
    }
    if (response.status >= 500) {
        co_return error{result_code::platform_unavailable,
                        "the platform returned status " + std::to_string(response.status)};
    }
    co_return std::move(response);
}

} // namespace peridot::detail
