#include "http/body_source.h"
#include "http/body_stream.h"
#include "http/connection_pool.h"
#include "http/http_server.h"
#include "http/raw_client.h"
#include "http/raw_server.h"
#include "http/server_thread.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <atomic>
#include <thread>

using namespace peridot;
using namespace peridot::http_tests;

namespace {

constexpr std::size_t part_bytes = std::size_t{64} * 1024;
constexpr std::size_t whole_body_bytes = std::size_t{128} * 1024;
std::string const lookup = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
std::string const last_lookup = "GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
std::string const small_lookup = "GET /small HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

// What the origin sends, and what it has observed.
struct origin_state {
    std::atomic<std::size_t> parts{64};
    /// The body fails after this many parts.
    std::atomic<std::size_t> failing_part{SIZE_MAX};
    std::atomic<bool> states_length{true};
    std::atomic<std::size_t> sent_parts{0};
    std::atomic<int> abandoned{0};
};

boost::asio::awaitable<body_part> next_part(origin_state& origin, std::size_t index) {
    if (index >= origin.failing_part) {
        co_return error{result_code::request_answer_incomplete, "the source fails"};
    }
    if (index >= origin.parts) {
        co_return body_end{};
    }
    ++origin.sent_parts;
    co_return std::string(part_bytes, static_cast<char>('a' + index % 26));
}

http_response large_response(origin_state& origin) {
    body_source source;
    auto const index = std::make_shared<std::size_t>(0);
    source.read = [&origin, index] { return next_part(origin, (*index)++); };
    if (origin.states_length) {
        source.remaining = origin.parts * part_bytes;
    }
    http_response response;
    response.rest = std::make_shared<body_stream>(std::move(source));
    response.rest->add_end_handler([&origin](body_outcome outcome) {
        origin.abandoned += outcome == body_outcome::abandoned ? 1 : 0;
    });
    return response;
}

boost::asio::awaitable<http_response> respond_from_origin(origin_state& origin,
                                                          http_request request) {
    if (request.target == "/small") {
        co_return http_response{200, {}, "small"};
    }
    co_return large_response(origin);
}

boost::asio::awaitable<http_response> relay(connection_pool& pool, socket_address origin,
                                            http_request request) {
    exchange_options options;
    options.whole_body_bytes = whole_body_bytes;
    auto outcome = co_await pool.exchange(std::move(origin), std::move(request),
                                          std::chrono::steady_clock::now() + seconds(60), options);
    if (auto* response = std::get_if<http_response>(&outcome)) {
        co_return std::move(*response);
    }
    co_return http_response{502, {}, ""};
}

std::string body_of(std::string const& response) {
    auto const end = response.find("\r\n\r\n");
    return end == std::string::npos ? "" : response.substr(end + 4);
}

} // namespace

// A client, a relay that passes bodies on, and an origin that produces them part by part.
TEST_GROUP(body_stream) {
    origin_state origin;
    server_thread origin_server;
    server_thread relay_server;
    std::unique_ptr<connection_pool> pool;
    socket_address address;

    void setup() override {
        auto const origin_address = this->origin_server.start([this](http_request request) {
            return respond_from_origin(this->origin, std::move(request));
        });
        this->pool = std::make_unique<connection_pool>(this->relay_server.io());
        this->address = this->relay_server.start([this, origin_address](http_request request) {
            return relay(*this->pool, origin_address, std::move(request));
        });
    }

    // Waits until the origin has sent no further part for a while.
    std::size_t wait_until_stalled() {
        std::size_t sent = 0;
        do {
            sent = this->origin.sent_parts;
            std::this_thread::sleep_for(milliseconds(300));
        } while (sent != this->origin.sent_parts);
        return sent;
    }

    connection_pool::exchange_result exchange(socket_address const& server,
                                              exchange_options const& options = {}) {
        boost::asio::io_context context;
        http_limits limits;
        limits.body_bytes = std::size_t{64} * 1024 * 1024;
        connection_pool client(context, limits);
        auto outcome = boost::asio::co_spawn(
            context,
            client.exchange(server, {"GET", "/large", {}, {}},
                            std::chrono::steady_clock::now() + seconds(60), options),
            boost::asio::use_future);
        context.run();
        return outcome.get();
    }
};

// Guards against a large body that loses bytes on its way, with and without a stated length.
TEST(body_stream, every_byte_arrives) {
    for (bool const states_length : {true, false}) {
        origin.states_length = states_length;
        auto const outcome = exchange(address);
        auto const* response = std::get_if<http_response>(&outcome);
        CHECK(response != nullptr);
        UNSIGNED_LONGS_EQUAL(origin.parts * part_bytes, response->body.size());
        for (std::size_t index = 0; index < origin.parts; ++index) {
            CHECK_EQUAL('a' + static_cast<int>(index % 26),
                        static_cast<int>(response->body[index * part_bytes]));
        }
    }
    LONGS_EQUAL(0, origin.abandoned);
}

// Guards against a node that runs out of memory because it receives a body faster than its caller
// reads it.
TEST(body_stream, slow_reader_slows_the_sender_down) {
    origin.parts = 1024;
    raw_connection reader(address);
    reader.send(last_lookup);
    std::string const beginning = reader.read_some();
    CHECK(beginning.starts_with("HTTP/1.1 200"));
    CHECK(wait_until_stalled() < origin.parts);
    std::string const response = beginning + reader.read_all();
    UNSIGNED_LONGS_EQUAL(origin.parts * part_bytes, body_of(response).size());
}

// Guards against a body that is cut on its way and reaches the caller as if it were complete.
TEST(body_stream, cut_body_is_incomplete_for_the_caller) {
    for (bool const states_length : {true, false}) {
        for (std::size_t const failing : {3, 10, 63}) {
            origin.states_length = states_length;
            origin.failing_part = failing;
            auto const outcome = exchange(address);
            auto const* failed = std::get_if<exchange_failure>(&outcome);
            CHECK(failed != nullptr);
            CHECK(failed->reason.code == result_code::request_answer_incomplete);
        }
    }
}

// Guards against answering with a part of the body where the transfer failed before anything was
// passed on.
TEST(body_stream, body_that_is_cut_early_is_not_passed_on) {
    origin.failing_part = 1;
    raw_connection caller(address);
    caller.send(last_lookup);
    CHECK(caller.read_all().starts_with("HTTP/1.1 502"));
}

// Guards against a body without a length whose end a client of HTTP/1.0 cannot tell from a cut.
TEST(body_stream, old_clients_get_the_body_up_to_the_end_of_the_connection) {
    origin.states_length = false;
    raw_connection caller(address);
    caller.send("GET /large HTTP/1.0\r\nHost: a\r\n\r\n");
    UNSIGNED_LONGS_EQUAL(origin.parts * part_bytes, body_of(caller.read_all()).size());
}

// Guards against a sender that goes on after the caller has left.
TEST(body_stream, leaving_caller_ends_the_transfer) {
    origin.parts = 4096;
    {
        raw_connection caller(address);
        caller.send(lookup);
        CHECK(!caller.read_some().empty());
    }
    CHECK(wait_for([this] { return origin.abandoned == 1; }));
    CHECK(origin.sent_parts < origin.parts);
    CHECK(wait_for([this] { return relay_server.requests_in_flight() == 0; }));
}

// Guards against small requests that wait behind large bodies of other callers.
TEST(body_stream, small_requests_pass_stalled_downloads) {
    origin.parts = 4096;
    std::vector<std::unique_ptr<raw_connection>> readers;
    for (int index = 0; index < 16; ++index) {
        readers.push_back(std::make_unique<raw_connection>(address));
        readers.back()->send(lookup);
    }
    CHECK(wait_until_stalled() < 16 * origin.parts);
    for (int round = 0; round < 50; ++round) {
        raw_connection caller(address);
        caller.send(small_lookup);
        CHECK(caller.read_all().ends_with("small"));
    }
}

// Guards against a late response to another request, with a large body, that is passed on or that
// hides the response to the current one.
TEST(body_stream, large_response_to_another_request_is_skipped) {
    std::string const large(4 * whole_body_bytes, 'o');
    raw_server const raw(
        "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: " + std::to_string(large.size()) +
        "\r\n\r\n" + large + "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nown");
    exchange_options options;
    options.whole_body_bytes = whole_body_bytes;
    options.match = [](http_response const& response) {
        return response.headers.value("X-Id") == "own" ? response_match::matched
                                                       : response_match::mismatched;
    };
    auto const outcome = exchange(raw.address(), options);
    auto const* response = std::get_if<http_response>(&outcome);
    CHECK(response != nullptr);
    STRCMP_EQUAL("own", response->body.c_str());
    CHECK(response->rest == nullptr);
}

// Guards against a body without end that takes the memory of the node.
TEST(body_stream, stated_length_takes_no_memory) {
    raw_server const raw("HTTP/1.1 200 OK\r\nContent-Length: 900000000000000\r\n\r\nbeginning");
    exchange_options options;
    options.whole_body_bytes = whole_body_bytes;
    auto const outcome = exchange(raw.address(), options);
    auto const* failed = std::get_if<exchange_failure>(&outcome);
    CHECK(failed != nullptr);
    CHECK(failed->reason.code == result_code::request_answer_incomplete);
}

// Guards against a response whose head was cut and that is passed on with a status and no body, or
// with a part of its body.
TEST(body_stream, response_cut_at_any_byte_is_no_response) {
    for (std::string const& whole :
         {std::string("HTTP/1.1 200 OK\r\nX-Server: one\r\nContent-Length: 5\r\n\r\nwhole"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Server: one\r\n\r\n"
                      "5\r\nwhole\r\n0\r\n\r\n")}) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
            raw_server const raw(whole.substr(0, size));
            exchange_options options;
            options.accepts_close_delimited = true;
            options.whole_body_bytes = whole_body_bytes;
            CHECK(std::holds_alternative<exchange_failure>(exchange(raw.address(), options)));
        }
    }
    // Without a length, the head alone decides.
    std::string const unframed = "HTTP/1.1 200 OK\r\nX-Server: one\r\n\r\n";
    for (std::size_t size = 0; size < unframed.size(); ++size) {
        raw_server const raw(unframed.substr(0, size));
        exchange_options options;
        options.accepts_close_delimited = true;
        CHECK(std::holds_alternative<exchange_failure>(exchange(raw.address(), options)));
    }
}
