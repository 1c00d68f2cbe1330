#include "http/response_writer.h"

#include "http/beast_messages.h"
#include "http/body_stream.h"
#include "http/http_version.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <string>

namespace peridot::detail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);

template<typename Body>
http::response<Body> make_head(http_response const& response, response_format const& format) {
    http::response<Body> message(http::int_to_status(response.status), format.http_version);
    message.result(response.status);
    to_beast(response.headers, message);
    message.keep_alive(format.keeps_connection);
    return message;
}

asio::awaitable<bool> write_whole(beast::tcp_stream& stream, http_response& response,
                                  response_format format) {
    auto message = make_head<http::string_body>(response, format);
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (format.is_head) {
        message.body().clear();
    }
    stream.expires_after(format.part_timeout);
    auto const [failed, size] = co_await http::async_write(stream, message, to_tuple);
    co_return !failed;
}

enum class body_framing : std::uint8_t { length, chunks, connection_end };

// Writes the parts of a body in one of the framings.
class body_writer {
public:
    body_writer(beast::tcp_stream& stream, body_framing framing, milliseconds timeout)
        : stream(stream), framing(framing), timeout(timeout) {}

    asio::awaitable<bool> write_part(std::string part) {
        if (part.empty()) {
            co_return true;
        }
        this->stream.expires_after(this->timeout);
        if (this->framing == body_framing::chunks) {
            co_return co_await this->write_buffers(http::make_chunk(asio::buffer(part)));
        }
        co_return co_await this->write_buffers(asio::buffer(part));
    }

    asio::awaitable<bool> write_end() {
        if (this->framing != body_framing::chunks) {
            co_return true;
        }
        this->stream.expires_after(this->timeout);
        co_return co_await this->write_buffers(http::make_chunk_last());
    }

    // Without a framing, a reset is the only sign that the body is incomplete.
    void reset_if_unframed() {
        if (this->framing == body_framing::connection_end) {
            boost::system::error_code ignored;
            this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            this->stream.socket().close(ignored);
        }
    }

private:
    template<typename Buffers>
    asio::awaitable<bool> write_buffers(Buffers const& buffers) {
        auto const [failed, size] = co_await asio::async_write(this->stream, buffers, to_tuple);
        co_return !failed;
    }

    beast::tcp_stream& stream;
    body_framing framing;
    milliseconds timeout;
};

body_framing select_framing(http_response const& response, unsigned http_version) {
    if (response.rest->length()) {
        return body_framing::length;
    }
    return http_version >= http_version_1_1 ? body_framing::chunks : body_framing::connection_end;
}

asio::awaitable<bool> write_streamed_head(beast::tcp_stream& stream, http_response const& response,
                                          response_format format, body_framing framing) {
    auto head = make_head<http::empty_body>(response, format);
    if (framing == body_framing::length) {
        head.content_length(response.body.size() + *response.rest->length());
    } else if (framing == body_framing::chunks) {
        head.chunked(true);
    }
    http::response_serializer<http::empty_body> serializer(head);
    stream.expires_after(format.part_timeout);
    auto const [failed, size] = co_await http::async_write_header(stream, serializer, to_tuple);
    co_return !failed;
}

// Writes all parts up to the end of the body; returns whether the end was reached.
asio::awaitable<bool> write_parts(body_writer& writer, http_response& response) {
    bool is_written = co_await writer.write_part(std::move(response.body));
    while (is_written) {
        auto part = co_await response.rest->next();
        if (std::holds_alternative<error>(part)) {
            co_return false;
        }
        if (std::holds_alternative<body_end>(part)) {
            co_return co_await writer.write_end();
        }
        is_written = co_await writer.write_part(std::move(std::get<std::string>(part)));
    }
    co_return false;
}

} // namespace

bool is_framed(http_response const& response, unsigned http_version) {
    return !response.rest || select_framing(response, http_version) != body_framing::connection_end;
}

asio::awaitable<bool> write_response(beast::tcp_stream& stream, http_response& response,
                                     response_format format) {
    if (!response.rest || format.is_head) {
        co_return co_await write_whole(stream, response, format);
    }
    auto const framing = select_framing(response, format.http_version);
    if (!co_await write_streamed_head(stream, response, format, framing)) {
        co_return false;
    }
    body_writer writer(stream, framing, format.part_timeout);
    bool const is_complete = co_await write_parts(writer, response);
    if (!is_complete) {
        writer.reset_if_unframed();
    }
    co_return is_complete;
}

} // namespace peridot::detail
