#include "platform/object_client.h"

#include "platform/platform_exchange.h"

namespace peridot {

object_client::object_client(connection_pool& connections, socket_address service)
    : connections(&connections), service(std::move(service)) {}

boost::asio::awaitable<status> object_client::put(std::string key, std::string bytes,
                                                  steady_time deadline) {
    http_request request{"PUT", "/objects/" + key, {{"If-None-Match", "*"}}, std::move(bytes)};
    auto exchanged = co_await detail::exchange_with_platform(*this->connections, this->service,
                                                             std::move(request), deadline);
    if (!is_ok(exchanged)) {
        co_return failure(exchanged);
    }
    unsigned const status_code = value(exchanged).status;
    // 412: the object exists already; its content is the same because its key contains its hash.
    if (status_code != 200 && status_code != 201 && status_code != 204 && status_code != 412) {
        co_return error{result_code::platform_answer_malformed,
                        "object store: unexpected status of a write: " +
                            std::to_string(status_code)};
    }
    co_return success();
}

boost::asio::awaitable<result<std::string>> object_client::get(std::string key,
                                                               steady_time deadline) {
    http_request request{"GET", "/objects/" + key, {}, {}};
    auto exchanged = co_await detail::exchange_with_platform(*this->connections, this->service,
                                                             std::move(request), deadline);
    if (!is_ok(exchanged)) {
        co_return failure(exchanged);
    }
    if (value(exchanged).status != 200) {
        co_return error{result_code::platform_not_found, "object store: object not found: " + key};
    }
    co_return std::move(value(exchanged).body);
}

} // namespace peridot
