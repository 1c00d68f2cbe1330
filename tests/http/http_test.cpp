#include "http/connection_pool.h"
#include "http/endless_server.h"
#include "http/http_server.h"
#include "http/raw_client.h"
#include "http/raw_server.h"
#include "http/server_thread.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <atomic>
#include <initializer_list>
#include <random>
#include <string_view>

using namespace peridot;
using namespace peridot::http_tests;

namespace {

constexpr std::uint64_t mutation_seed = 20'240;
constexpr int mutations = 1000;

std::string const complete_request =
    "POST /deposits/x?y=1 HTTP/1.1\r\nHost: a\r\nX-Test-Id: 7\r\nContent-Length: 4\r\n\r\nbody";

// Replaces, removes, duplicates or inserts a few bytes.
std::string mutate(std::string text, std::mt19937_64& random) {
    auto const edits = 1 + random() % 4;
    for (std::uint64_t edit = 0; edit < edits && !text.empty(); ++edit) {
        auto const position = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[position] = static_cast<char>(random());
            break;
        case 1:
            text.erase(position, 1 + random() % 8);
            break;
        case 2:
            text.insert(position, text.substr(position, 1 + random() % 16));
            break;
        default:
            text.insert(position, 1, static_cast<char>(random()));
            break;
        }
    }
    return text;
}

std::string join(std::initializer_list<std::string_view> parts) {
    std::string text;
    for (auto const part : parts) {
        text += part;
    }
    return text;
}

boost::asio::awaitable<http_response> echo(http_request request) {
    http_response response{200, {}, std::move(request.body)};
    co_return response;
}

} // namespace

TEST_GROUP(http) {
    server_thread server;
    boost::asio::io_context context;
    connection_pool connections{context};

    connection_pool::exchange_result exchange(socket_address const& address, http_request request,
                                              milliseconds time = seconds(30),
                                              connection_reuse reuse = connection_reuse::any) {
        auto outcome = boost::asio::co_spawn(
            this->context,
            this->connections.exchange(address, std::move(request),
                                       std::chrono::steady_clock::now() + time, reuse),
            boost::asio::use_future);
        this->context.restart();
        this->context.run();
        return outcome.get();
    }

    // Returns the code of the failure, or ok if there was a response.
    static result_code code_of(connection_pool::exchange_result const& outcome) {
        auto const* failed = std::get_if<exchange_failure>(&outcome);
        return failed == nullptr ? result_code::ok : failed->reason.code;
    }

    static unsigned status_of(connection_pool::exchange_result const& outcome) {
        auto const* response = std::get_if<http_response>(&outcome);
        return response == nullptr ? 0 : response->status;
    }

    // Exchanges a request with a server that writes the given bytes and closes the connection.
    connection_pool::exchange_result exchange_with_raw_server(std::string const& response) {
        raw_server const raw(response);
        return this->exchange(raw.address(), {"GET", "/", {}, {}});
    }
};

// Guards against sending a request that must not be sent twice on a connection that the server has
// closed.
TEST(http, closed_idle_connection_is_not_used) {
    http_limits limits;
    limits.idle_timeout = milliseconds(50);
    auto const address = server.start(echo, limits);
    for (int round = 0; round < 5; ++round) {
        auto const outcome =
            exchange(address, {"POST", "/", {}, "x"}, seconds(30), connection_reuse::recent_only);
        UNSIGNED_LONGS_EQUAL(200, status_of(outcome));
        UNSIGNED_LONGS_EQUAL(1, connections.connections(address));
        // The probe connection becomes idle later than the pooled one, so it is closed later.
        wait_until_closed(address);
    }
}

// Guards against sending a request that must not be sent twice on a connection that has been idle
// for so long that the server may already be closing it.
TEST(http, long_idle_connection_is_reused_only_for_repeatable_requests) {
    auto const address = server.start(echo);
    UNSIGNED_LONGS_EQUAL(200, status_of(exchange(address, {"GET", "/", {}, {}})));
    boost::asio::steady_timer timer(context, milliseconds(1100));
    timer.wait();
    UNSIGNED_LONGS_EQUAL(200, status_of(exchange(address, {"GET", "/", {}, {}})));
    UNSIGNED_LONGS_EQUAL(1, connections.connections(address));
    timer.expires_after(milliseconds(1100));
    timer.wait();
    UNSIGNED_LONGS_EQUAL(200, status_of(exchange(address, {"POST", "/", {}, {}}, seconds(30),
                                                 connection_reuse::recent_only)));
    UNSIGNED_LONGS_EQUAL(2, connections.connections(address));
}

// Guards against accepting a truncated body as complete.
TEST(http, truncated_body_is_reported_as_incomplete) {
    auto const outcome =
        exchange_with_raw_server("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
    CHECK(code_of(outcome) == result_code::request_answer_incomplete);
    CHECK(std::get<exchange_failure>(outcome).progress == exchange_progress::sent);
    auto const chunked = exchange_with_raw_server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n");
    CHECK(code_of(chunked) == result_code::request_answer_incomplete);
}

// Guards against accepting a response without a length, whose truncation could not be detected.
TEST(http, close_delimited_response_is_rejected) {
    auto const outcome = exchange_with_raw_server("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nwhole or not");
    CHECK(code_of(outcome) == result_code::request_answer_incomplete);
    UNSIGNED_LONGS_EQUAL(
        200, status_of(exchange_with_raw_server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
}

// Guards against reporting a request as sent when no connection was established, and as not sent
// when the connection was closed after the request.
TEST(http, failure_reports_whether_the_request_was_sent) {
    auto const interrupted = exchange_with_raw_server("");
    CHECK(std::get<exchange_failure>(interrupted).progress == exchange_progress::sent);
    socket_address closed_address;
    {
        raw_server const raw("");
        closed_address = raw.address();
    }
    auto const refused = exchange(closed_address, {"GET", "/", {}, {}});
    CHECK(code_of(refused) == result_code::request_connect_failed);
    CHECK(std::get<exchange_failure>(refused).progress == exchange_progress::not_sent);
}

// Guards against buffering input of unlimited size.
TEST(http, oversized_requests_are_rejected) {
    std::atomic<int> handled{0};
    http_limits limits;
    limits.body_bytes = 1000;
    limits.header_bytes = 1000;
    auto const address = server.start(
        [&](http_request request) {
            ++handled;
            return echo(std::move(request));
        },
        limits);
    UNSIGNED_LONGS_EQUAL(413,
                         status_of(exchange(address, {"POST", "/", {}, std::string(1001, 'x')})));
    http_request oversized{"GET", "/", {{"X-Wide", std::string(2000, 'x')}}, {}};
    auto const outcome = exchange(address, oversized);
    UNSIGNED_LONGS_EQUAL(431, status_of(outcome));
    CHECK(std::get<http_response>(outcome).headers.value("Peridot-Outcome") == "not_run");
    LONGS_EQUAL(0, handled.load());
    UNSIGNED_LONGS_EQUAL(200,
                         status_of(exchange(address, {"POST", "/", {}, std::string(1000, 'x')})));
    LONGS_EQUAL(1, handled.load());
}

// Guards against waiting beyond the deadline, reusing the connection afterwards, and continuing
// work for a client that has disconnected.
TEST(http, deadline_closes_the_connection_and_cancels_the_handler) {
    std::atomic<int> started{0};
    std::atomic<int> cancelled{0};
    auto const address = server.start([&](http_request) -> boost::asio::awaitable<http_response> {
        ++started;
        boost::asio::steady_timer timer(server.io(), std::chrono::hours(1));
        try {
            co_await timer.async_wait(boost::asio::use_awaitable);
        } catch (std::exception const&) {
            ++cancelled;
            throw;
        }
        co_return http_response{};
    });
    // A server whose thread gets no processor time until the deadline does not start the handler.
    CHECK(wait_for([&] {
        auto const outcome = exchange(address, {"POST", "/", {}, "x"}, milliseconds(300));
        CHECK(code_of(outcome) == result_code::request_outcome_unknown);
        CHECK(std::get<exchange_failure>(outcome).progress == exchange_progress::sent);
        UNSIGNED_LONGS_EQUAL(0, connections.connections(address));
        return started > 0;
    }));
    LONGS_EQUAL(1, started.load());
    CHECK(wait_for([&] { return cancelled == 1; }));
    CHECK(wait_for([&] { return server.requests_in_flight() == 0; }));
}

// Guards against a request that is never completed because its handler throws.
TEST(http, handler_that_throws_closes_the_connection) {
    auto const address = server.start([](http_request) -> boost::asio::awaitable<http_response> {
        throw std::runtime_error("a fault");
        co_return http_response{};
    });
    auto const outcome = exchange(address, {"GET", "/", {}, {}});
    CHECK(code_of(outcome) == result_code::request_outcome_unknown);
    STRCMP_CONTAINS("end of stream", std::get<exchange_failure>(outcome).reason.message.c_str());
}

// Guards against malformed input that stops the server or leaves a request in flight.
TEST(http, mutated_requests_do_not_stop_the_server) {
    auto const address = server.start(echo);
    std::mt19937_64 random(mutation_seed);
    for (int round = 0; round < mutations; ++round) {
        send_and_close(address, mutate(complete_request, random));
    }
    CHECK(wait_for([&] { return server.requests_in_flight() == 0; }));
    UNSIGNED_LONGS_EQUAL(200, status_of(exchange(address, {"POST", "/", {}, "alive"})));
}

// Guards against exiting on a planned stop before the last response is written.
TEST(http, response_counts_as_in_flight_until_it_is_written) {
    std::atomic<std::size_t> in_flight_after_handler{0};
    auto const address = server.start([&](http_request) -> boost::asio::awaitable<http_response> {
        // Runs after the handler has completed and before its response is written.
        boost::asio::post(server.io(), [&] {
            boost::asio::post(server.io(), [&] {
                in_flight_after_handler = server.server().requests_in_flight();
            });
        });
        co_return http_response{};
    });
    UNSIGNED_LONGS_EQUAL(200, status_of(exchange(address, {"GET", "/", {}, {}})));
    CHECK(wait_for([&] { return in_flight_after_handler == 1; }));
    CHECK(wait_for([&] { return server.requests_in_flight() == 0; }));
}

// Guards against processing pipelined requests sequentially, and against writing responses in order
// of completion.
TEST(http, pipelined_requests_run_concurrently_and_are_answered_in_order) {
    std::atomic<int> started{0};
    auto const address =
        server.start([&](http_request request) -> boost::asio::awaitable<http_response> {
            ++started;
            boost::asio::steady_timer timer(server.io());
            // The first request completes only after the last one has started.
            while (request.target == "/1" && started < 3) {
                timer.expires_after(milliseconds(1));
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            co_return http_response{200, {}, "answer to " + request.target};
        });
    std::string const text = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                             "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    auto const responses = send_and_read(address, text);
    auto const first = responses.find("answer to /1");
    auto const second = responses.find("answer to /2");
    auto const third = responses.find("answer to /3");
    CHECK(first != std::string::npos && third != std::string::npos);
    CHECK(first < second && second < third);
}

// Guards against losing a completed response on a planned stop because an earlier request of its
// connection is still running (seen in zampa-mesh-grown quiet-1).
TEST(http, ready_answer_is_delivered_behind_a_cancelled_request) {
    std::atomic<int> started{0};
    auto const address =
        server.start([&](http_request request) -> boost::asio::awaitable<http_response> {
            ++started;
            if (request.target == "/short") {
                co_return http_response{200, {}, "short answer"};
            }
            try {
                boost::asio::steady_timer timer(server.io(), std::chrono::hours(1));
                co_await timer.async_wait(boost::asio::use_awaitable);
            } catch (boost::system::system_error const& exception) {
                CHECK(exception.code() == boost::asio::error::operation_aborted);
            }
            co_return http_response{502, {}, "given up"};
        });
    std::thread stop([&] {
        wait_for([&] { return started == 2; });
        boost::asio::post(server.io(), [&] { server.server().cancel_handlers(); });
    });
    std::string const text = "GET /long HTTP/1.1\r\nHost: a\r\n\r\n"
                             "GET /short HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    auto const responses = send_and_read(address, text);
    stop.join();
    auto const long_response = responses.find("given up");
    auto const short_response = responses.find("short answer");
    CHECK(long_response != std::string::npos && short_response != std::string::npos);
    CHECK(long_response < short_response);
}

// Guards against clients that occupy connections by never completing a header.
TEST(http, header_timeout_closes_the_connection) {
    http_limits limits;
    limits.header_timeout = milliseconds(50);
    auto const address = server.start(echo, limits);
    STRCMP_EQUAL("", send_and_read(address, "GET / HTTP/1.1\r\nHost: ").c_str());
}

// Guards against an idle timeout that has no effect when it is changed on a running server.
TEST(http, changed_limits_apply_to_open_connections) {
    auto const address = server.start(echo);
    boost::asio::post(server.io(), [&] {
        http_limits limits;
        limits.idle_timeout = milliseconds(50);
        server.server().set_limits(limits);
    });
    wait_until_closed(address);
}

// Guards against delivering a late response to an earlier request as the response to the next one,
// and against losing the response of the next request in that case.
TEST(http, answers_to_other_requests_are_skipped) {
    raw_server const raw("HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
                         "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nown");
    exchange_options options;
    options.match = [](http_response const& response) {
        return response.headers.value("X-Id") == "own" ? response_match::matched
                                                       : response_match::mismatched;
    };
    auto outcome = boost::asio::co_spawn(
        context,
        connections.exchange(raw.address(), {"GET", "/", {}, {}},
                             std::chrono::steady_clock::now() + seconds(30), options),
        boost::asio::use_future);
    context.run();
    auto const exchanged = outcome.get();
    UNSIGNED_LONGS_EQUAL(200, status_of(exchanged));
    STRCMP_EQUAL("own", std::get<http_response>(exchanged).body.c_str());
}

// Guards against a node that runs out of memory because a faulty server writes a head without end,
// also where the end of a chunk's line or of a trailer is due.
TEST(http, heads_without_end_are_given_up) {
    std::string const endless(std::size_t{8} * 1024 * 1024, 'x');
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct head_parts {
        std::string before;
        std::string after;
    };
    for (auto const& [before, after] :
         {head_parts{"HTTP/1.1 200 OK\r\nX-Field: ", "\r\nContent-Length: 0\r\n\r\n"},
          head_parts{"HTTP/1.1 200 ", "\r\nContent-Length: 0\r\n\r\n"},
          head_parts{chunked + "1;", "\r\nx\r\n0\r\n\r\n"},
          head_parts{chunked + "1\r\nx\r\n0\r\nX-Trailer: ", "\r\n\r\n"}}) {
        std::string response = before;
        response += endless;
        response += after;
        CHECK(code_of(exchange_with_raw_server(response)) != result_code::ok);
    }
}

// Guards against a client that reads on, and keeps what it has read, while a server writes without
// end. Targets, other nodes and the store are called through this pool.
TEST(http, servers_that_write_without_end_are_given_up) {
    constexpr std::size_t megabyte = std::size_t{1024} * 1024;
    endless_server const server({"127.0.0.1", 0});
    for (std::size_t form = 0; form < endless_server::forms(); ++form) {
        auto const written_before = server.written_bytes();
        exchange(server.address(), {"GET", "/", {}, {}}, seconds(20));
        UNSIGNED_LONGS_EQUAL(form + 1, server.connections());
        UNSIGNED_LONGS_EQUAL(0, connections.connections(server.address()));
        // The limit of a body, and what the sockets hold.
        CHECK(server.written_bytes() - written_before < 16 * megabyte);
    }
}

// Guards against a node that runs out of memory because a client sends a line, fields or a body
// without end: the server has to refuse the request without waiting for its end.
TEST(http, requests_without_end_are_refused) {
    http_limits limits;
    limits.body_bytes = 1000;
    auto const address = server.start(echo, limits);
    std::string const endless(std::size_t{1024} * 1024, 'x');
    std::string fields;
    std::string chunks;
    while (fields.size() < endless.size()) {
        fields += "X-Field: y\r\n";
        chunks += "10\r\n0123456789abcdef\r\n";
    }
    std::string const post = "POST / HTTP/1.1\r\nHost: a\r\n";
    std::string const chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    std::string const head = "GET / HTTP/1.1\r\n";
    for (std::string const& request :
         {join({"GET /", endless}), join({head, "X-Field: ", endless}), join({head, fields}),
          join({chunked, "1;", endless}), join({chunked, chunks}),
          join({chunked, "0\r\nX-Trailer: ", endless}), join({chunked, "0\r\n", fields}),
          join({post, "Content-Length: 99999999999999\r\n\r\n", endless})}) {
        auto const response = send_and_read(address, request);
        STRCMP_CONTAINS("HTTP/1.1 4", response.c_str());
    }
    UNSIGNED_LONGS_EQUAL(200, status_of(exchange(address, {"POST", "/", {}, "whole"})));
}

// Guards against a node that runs out of memory because several faulty servers write bodies without
// end at the same time, each within the limit of one body.
TEST(http, bodies_without_end_share_a_limit) {
    constexpr std::size_t megabyte = std::size_t{1024} * 1024;
    http_limits limits;
    limits.body_bytes = 64 * megabyte;
    limits.received_bytes = 4 * megabyte;
    connection_pool bounded(context, limits);
    std::string const body(3 * megabyte, 'x');
    std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int chunk = 0; chunk < 3; ++chunk) {
        chunked += "100000\r\n";
        chunked.append(megabyte, 'x');
        chunked += "\r\n";
    }
    chunked += "0\r\n\r\n";
    raw_server const first("HTTP/1.1 200 OK\r\n\r\n" + body);
    raw_server const second(chunked);
    raw_server const small("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    exchange_options options;
    options.accepts_close_delimited = true;
    auto const start = [&](raw_server const& server) {
        return boost::asio::co_spawn(
            context,
            bounded.exchange(server.address(), {"GET", "/", {}, {}},
                             std::chrono::steady_clock::now() + seconds(30), options),
            boost::asio::use_future);
    };
    auto first_outcome = start(first);
    auto second_outcome = start(second);
    auto small_outcome = start(small);
    context.run();
    auto const served = static_cast<int>(code_of(first_outcome.get()) == result_code::ok) +
                        static_cast<int>(code_of(second_outcome.get()) == result_code::ok);
    CHECK(served <= 1);
    UNSIGNED_LONGS_EQUAL(200, status_of(small_outcome.get()));
    // What was received before does not count any more.
    raw_server const third("HTTP/1.1 200 OK\r\n\r\n" + body);
    auto third_outcome = start(third);
    context.restart();
    context.run();
    UNSIGNED_LONGS_EQUAL(200, status_of(third_outcome.get()));
}

// Guards against parsing trailing bytes of a response as the response to the next request.
TEST(http, connection_with_trailing_bytes_is_not_reused) {
    raw_server const raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    UNSIGNED_LONGS_EQUAL(200, status_of(exchange(raw.address(), {"GET", "/", {}, {}})));
    UNSIGNED_LONGS_EQUAL(0, connections.connections(raw.address()));
}

// Guards against a status that is no answer, such as 000 or a 101 that was not asked for, being
// returned as the response.
TEST(http, invalid_status_is_no_response) {
    for (auto const* method : {"GET", "POST"}) {
        for (auto const* status : {"000", "042", "099", "101", "600", "999"}) {
            raw_server const target(join({"HTTP/1.1 ", status, " X\r\nContent-Length: 0\r\n\r\n"}));
            http_request request;
            request.method = method;
            auto const outcome = exchange(target.address(), request);
            CHECK_TRUE_TEXT(code_of(outcome) == result_code::request_answer_mismatched, status);
            CHECK(std::get<exchange_failure>(outcome).progress == exchange_progress::sent);
            UNSIGNED_LONGS_EQUAL(0, connections.connections(target.address()));
        }
    }
}

// Guards against an interim response that is returned as the final one.
TEST(http, interim_responses_precede_the_final_one) {
    for (auto const* method : {"GET", "POST"}) {
        raw_server const target("HTTP/1.1 100 Continue\r\n\r\n"
                                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        http_request request;
        request.method = method;
        auto const outcome = exchange(target.address(), request);
        auto const* response = std::get_if<http_response>(&outcome);
        CHECK(response != nullptr);
        UNSIGNED_LONGS_EQUAL(200, response->status);
        STRCMP_EQUAL("done", response->body.c_str());
    }
}

// Guards against a server that holds an exchange forever with interim responses, and against an
// interim response that is taken for the final one because nothing follows it.
TEST(http, interim_responses_without_a_final_one_are_no_response) {
    raw_server const silent("HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(code_of(exchange(silent.address(), {})) == result_code::request_outcome_unknown);
    std::string many;
    for (int count = 0; count < 100; ++count) {
        many += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    raw_server const endless(many);
    CHECK(code_of(exchange(endless.address(), {})) == result_code::request_answer_mismatched);
}
