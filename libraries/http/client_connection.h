#pragma once

#include "core/socket_address.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>

namespace peridot::detail {

/// Limits headers, chunk extensions and trailers, which a parser can only process as a whole.
inline constexpr std::size_t max_buffer_bytes = std::size_t{128} * 1024;
/// Shorter than the server's idle timeout of 60 s, so that the client closes idle connections
/// first.
inline constexpr milliseconds max_idle_time{20'000};

/// One connection to a server, and the bytes that were received on it but not parsed yet.
struct client_connection {
    explicit client_connection(boost::asio::io_context& context) : stream(context) {}

    /// Connects until the time limit. Afterwards the connection fails soon when its peer no longer
    /// responds.
    boost::asio::awaitable<boost::system::error_code> connect(socket_address const& address,
                                                              steady_time limit);

    /// Whether an idle connection can be used: there is neither data nor the end of the stream to
    /// read.
    bool is_alive();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{max_buffer_bytes};
    steady_time last_used;
    /// Time for which the idle connection may be reused: the server's idle timeout less a margin.
    milliseconds idle_limit = max_idle_time;
};

} // namespace peridot::detail
