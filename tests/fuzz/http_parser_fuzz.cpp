#include "http/answer_kind.h"
#include "http/beast_messages.h"
#include "http/growing_body.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>

using namespace peridot;

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t header_bytes = 1024;
constexpr std::size_t body_bytes = 4096;

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

// Feeds the parser as a connection does, with pieces of the given size.
template<typename Parser>
void parse(Parser& parser, std::span<std::uint8_t const> input, std::size_t piece_bytes) {
    parser.header_limit(header_bytes);
    parser.body_limit(body_bytes);
    parser.eager(true);
    boost::beast::flat_buffer buffer;
    boost::system::error_code failed;
    while (!parser.is_done() && (!failed || failed == http::error::need_more) && !input.empty()) {
        auto const piece = input.first(std::min(piece_bytes, input.size()));
        input = input.subspan(piece.size());
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(piece.size()),
                                               boost::asio::buffer(piece.data(), piece.size())));
        failed = {};
        std::size_t used = 1;
        while (!failed && !parser.is_done() && used > 0 && buffer.size() > 0) {
            used = parser.put(buffer.data(), failed);
            buffer.consume(used);
        }
    }
    if (!parser.is_done() && parser.got_some() && !failed) {
        parser.put_eof(failed);
    }
}

// Fields that belong to a connection are not passed on, whatever the message contains.
void check_fields(http::fields const& fields) {
    auto const headers = detail::from_beast(fields);
    http::fields copied;
    detail::to_beast(headers, copied);
    for (auto const name : {http::field::connection, http::field::transfer_encoding,
                            http::field::content_length, http::field::upgrade}) {
        require(copied.find(name) == copied.end());
    }
}

} // namespace

// The first byte selects request or response, the second one the size of the pieces.
// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    std::span<std::uint8_t const> const input(data, size);
    if (input.size() < 2) {
        return 0;
    }
    std::size_t const piece_bytes = std::size_t{input[1]} + 1;
    if (input[0] % 2 == 0) {
        http::request_parser<http::string_body> parser;
        parse(parser, input.subspan(2), piece_bytes);
        require(parser.get().body().size() <= body_bytes);
        check_fields(parser.get());
        return 0;
    }
    http::response_parser<detail::growing_body> parser;
    parse(parser, input.subspan(2), piece_bytes);
    require(parser.get().body().size() <= body_bytes);
    if (parser.is_header_done()) {
        auto const status = parser.get().result_int();
        bool const is_answer = status >= 200 && status <= 599;
        require((classify_status(status) == answer_kind::final) == is_answer);
    }
    check_fields(parser.get());
    return 0;
}
