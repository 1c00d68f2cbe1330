#pragma once

#include "core/time.h"
#include "http/growing_body.h"
#include "http/http_response.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace peridot::detail {

struct client_connection;

/// Whether the response to a request has a body; that to HEAD has none.
enum class expected_body : std::uint8_t { any, none };

/// Receives one response on a connection, step by step.
class response_receiver {
public:
    /// Without a limit, the body may have any size.
    response_receiver(client_connection& source, std::uint32_t header_bytes,
                      std::optional<std::uint64_t> body_bytes, expected_body expected);

    /// Receives more of the response, which must not be complete. A connection that ends before the
    /// end of the response is an error.
    boost::asio::awaitable<boost::system::error_code> receive_some();

    /// Returns the status; the header must have been received.
    unsigned status() const { return this->parser.get().result_int(); }
    bool has_begun() const { return this->parser.got_some(); }
    bool is_complete() const { return this->parser.is_done(); }
    /// Whether only the end of the connection marks the end of the body.
    bool is_unframed() const;
    /// Whether the connection can be used for another exchange after the response.
    bool keeps_connection() const;
    /// How long the server keeps the connection open while it is idle, less a margin.
    milliseconds granted_idle_time() const;
    /// Number of body bytes that are still to come; no value if the response does not state it.
    std::optional<std::uint64_t> remaining_length() const;

    std::size_t body_size() const { return this->parser.get().body().size(); }
    /// Returns the part of the body that was received and not taken yet.
    std::string take_body();
    /// Returns status and header fields; they must have been received.
    http_response head() const;

private:
    boost::beast::tcp_stream& stream;
    boost::beast::flat_buffer& buffer;
    boost::beast::http::response_parser<growing_body> parser;
};

} // namespace peridot::detail
