#include "http/response_receiver.h"

#include "http/beast_messages.h"
#include "http/client_connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

namespace peridot::detail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

} // namespace

response_receiver::response_receiver(client_connection& source, std::uint32_t header_bytes,
                                     std::optional<std::uint64_t> body_bytes,
                                     expected_body expected)
    : stream(source.stream), buffer(source.buffer) {
    this->parser.header_limit(header_bytes);
    this->parser.body_limit(body_bytes ? boost::optional<std::uint64_t>(*body_bytes) : boost::none);
    this->parser.skip(expected == expected_body::none);
    // Header and body are parsed in one step if they have arrived together.
    this->parser.eager(true);
}

asio::awaitable<boost::system::error_code> response_receiver::receive_some() {
    auto const [failed, size] = co_await http::async_read_some(
        this->stream, this->buffer, this->parser, asio::as_tuple(asio::use_awaitable));
    co_return failed;
}

bool response_receiver::is_unframed() const {
    return this->parser.need_eof() && !this->parser.chunked() && !this->parser.content_length();
}

bool response_receiver::keeps_connection() const {
    return this->parser.get().keep_alive() && !this->is_unframed();
}

milliseconds response_receiver::granted_idle_time() const {
    auto const field = this->parser.get()[http::field::keep_alive];
    auto const position = field.find("timeout=");
    unsigned granted = 0;
    if (position == beast::string_view::npos ||
        std::from_chars(field.data() + position + std::strlen("timeout="),
                        field.data() + field.size(), granted)
                .ec != std::errc{}) {
        return max_idle_time;
    }
    return std::min(max_idle_time, milliseconds(seconds(granted)) * 7 / 10);
}

std::optional<std::uint64_t> response_receiver::remaining_length() const {
    auto const remaining = this->parser.content_length_remaining();
    return remaining ? std::optional<std::uint64_t>(*remaining) : std::nullopt;
}

std::string response_receiver::take_body() {
    return std::exchange(this->parser.get().body(), {});
}

http_response response_receiver::head() const {
    http_response response;
    response.status = this->parser.get().result_int();
    response.headers = from_beast(this->parser.get());
    return response;
}

} // namespace peridot::detail
