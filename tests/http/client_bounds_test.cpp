#include "http/byte_budget.h"
#include "http/raw_client.h"
#include "http/server_thread.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <optional>
#include <string>

using namespace peridot;
using namespace peridot::http_tests;

namespace {

constexpr std::size_t budget_bytes = 1'000'000;
constexpr std::size_t body_bytes = 2'000'000;

std::string make_head(bool is_chunked, std::size_t length) {
    return "POST / HTTP/1.1\r\nHost: a\r\n" +
           (is_chunked ? std::string("Transfer-Encoding: chunked\r\n\r\n")
                       : "Content-Length: " + std::to_string(length) + "\r\n\r\n");
}

http_limits make_limits() {
    http_limits limits;
    limits.body_bytes = 2 * body_bytes;
    return limits;
}

} // namespace

// Servers whose memory or connections are bounded.
TEST_GROUP(client_bounds) {
    server_thread server;
    std::atomic<int> runs{0};
    byte_budget budget;

    socket_address start(http_limits const& limits, std::optional<std::size_t> bound) {
        return this->server.start(
            [this](http_request request) -> boost::asio::awaitable<http_response> {
                ++this->runs;
                co_return http_response{200, {}, std::to_string(request.body.size())};
            },
            limits, this->budget = byte_budget(bound));
    }
};

// Guards against a body beyond the bound that is kept, or whose client does not learn that its
// request has not run and when to send it again.
TEST(client_bounds, body_without_room_is_refused) {
    auto const address = start(make_limits(), budget_bytes);
    std::string chunks;
    std::string const piece(4096, 'x');
    for (std::size_t size = 0; size < body_bytes; size += piece.size()) {
        chunks += "1000\r\n" + piece + "\r\n";
    }
    for (auto const& request :
         {make_head(false, body_bytes) + std::string(body_bytes, 'x'),
          make_head(true, 0) + chunks + "0\r\n\r\n", make_head(true, 0) + chunks}) {
        auto const response = send_and_read(address, request);
        STRCMP_CONTAINS("HTTP/1.1 503", response.c_str());
        STRCMP_CONTAINS("Retry-After: 1.000", response.c_str());
        STRCMP_CONTAINS("Connection: close", response.c_str());
    }
    LONGS_EQUAL(0, runs);
    auto const served = send_and_read(
        address, "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab");
    STRCMP_CONTAINS("HTTP/1.1 200", served.c_str());
}

// Guards against a client that stops short of the end of its body and keeps others out.
TEST(client_bounds, stalled_body_makes_room_for_others) {
    constexpr std::size_t more_than_half = 600'000;
    auto const address = start(make_limits(), budget_bytes);
    raw_connection stalled(address);
    stalled.send(make_head(false, more_than_half) + std::string(more_than_half - 1, 'x'));
    CHECK(wait_for([&] { return budget.used() == more_than_half - 1; }));
    CHECK(wait_for([&] {
        raw_connection other(address);
        other.send(make_head(false, more_than_half) + std::string(more_than_half, 'x'));
        return other.read_some().starts_with("HTTP/1.1 200");
    }));
    STRCMP_CONTAINS("HTTP/1.1 503", stalled.read_all().c_str());
}

// Guards against a bound in deployments that do not set one.
TEST(client_bounds, body_is_served_without_a_bound) {
    auto const address = start(make_limits(), std::nullopt);
    raw_connection client(address);
    client.send(make_head(false, body_bytes) + std::string(body_bytes, 'x'));
    STRCMP_CONTAINS("HTTP/1.1 200", client.read_some().c_str());
}

// Guards against bodies that make no progress and hold their memory until the timeout of the whole
// request.
TEST(client_bounds, body_without_progress_is_given_up) {
    auto limits = make_limits();
    limits.idle_timeout = milliseconds(100);
    auto const address = start(limits, budget_bytes);
    raw_connection client(address);
    client.send(make_head(false, 10) + "x");
    STRCMP_EQUAL("", client.read_all().c_str());
    LONGS_EQUAL(0, runs);
}

// Guards against idle connections that keep new clients out.
TEST(client_bounds, new_connection_replaces_the_longest_idle_one) {
    auto limits = make_limits();
    limits.connections = 2;
    limits.replaces_idle_connections = true;
    auto const address = start(limits, std::nullopt);
    std::string const request = make_head(false, 1) + "x";
    raw_connection first(address);
    raw_connection second(address);
    for (auto* client : {&first, &second}) {
        client->send(request);
        STRCMP_CONTAINS("HTTP/1.1 200", client->read_some().c_str());
    }
    raw_connection third(address);
    third.send(request);
    STRCMP_CONTAINS("HTTP/1.1 200", third.read_some().c_str());
    STRCMP_EQUAL("", first.read_all().c_str());
    second.send(request);
    STRCMP_CONTAINS("HTTP/1.1 200", second.read_some().c_str());
}
