#include "http/client_connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace peridot::detail {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// TCP options that close a connection to an unresponsive peer when sent data or keep-alive probes
// stay unacknowledged.
using keep_alive_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_alive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_alive_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using unacknowledged_limit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
constexpr int keep_alive_seconds = 1;
constexpr int keep_alive_probes = 2;
constexpr int unacknowledged_milliseconds = 1500;

} // namespace

asio::awaitable<boost::system::error_code> client_connection::connect(socket_address const& address,
                                                                      steady_time limit) {
    boost::system::error_code failed;
    auto const ip = asio::ip::make_address(address.ip, failed);
    if (failed) {
        co_return failed;
    }
    this->stream.expires_at(limit);
    auto const [connect_error] = co_await this->stream.async_connect(
        tcp::endpoint(ip, address.port), asio::as_tuple(asio::use_awaitable));
    if (!connect_error) {
        auto& socket = this->stream.socket();
        socket.set_option(tcp::no_delay(true), failed);
        socket.set_option(asio::socket_base::keep_alive(true), failed);
        socket.set_option(keep_alive_idle(keep_alive_seconds), failed);
        socket.set_option(keep_alive_interval(keep_alive_seconds), failed);
        socket.set_option(keep_alive_count(keep_alive_probes), failed);
        socket.set_option(unacknowledged_limit(unacknowledged_milliseconds), failed);
    }
    co_return connect_error;
}

bool client_connection::is_alive() {
    char byte = 0;
    auto const received =
        ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && this->buffer.size() == 0;
}

} // namespace peridot::detail
