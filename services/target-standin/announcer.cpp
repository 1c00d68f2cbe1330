#include "announcer.h"

#include "http/connection_pool.h"
#include "target_service.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace peridot {

namespace {

constexpr milliseconds announce_period{200};
constexpr milliseconds announce_timeout{1000};

} // namespace

boost::asio::awaitable<void> announce(target_settings settings, socket_address listen_address,
                                      target_service const& service, connection_pool& connections) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    for (;;) {
        boost::json::object const body{
            {"ip", listen_address.ip},     {"port", listen_address.port},
            {"service", settings.service}, {"target_version", settings.target_version},
            {"slots", settings.slots},     {"state", service.announced_state()}};
        http_request request{"PUT", "/target", {}, boost::json::serialize(body)};
        auto const deadline = std::chrono::steady_clock::now() + announce_timeout;
        (void)co_await connections.exchange(settings.node_admin, std::move(request), deadline);
        timer.expires_after(announce_period);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

} // namespace peridot
