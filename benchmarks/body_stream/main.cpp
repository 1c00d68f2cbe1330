// Measures what large bodies cost a node that passes them on: resident memory for each download
// whose reader has stopped, and the time of small requests beside downloads that run at full speed.

#include "http/body_source.h"
#include "http/body_stream.h"
#include "http/connection_pool.h"
#include "http/http_server.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace peridot;
using tcp = asio::ip::tcp;

constexpr std::size_t part_bytes = std::size_t{64} * 1024;
constexpr std::size_t body_parts = 16'384;
constexpr std::size_t whole_body_bytes = std::size_t{256} * 1024;
constexpr int stalled_readers = 64;
constexpr int running_readers = 8;
constexpr int small_requests = 500;
constexpr seconds exchange_timeout{60};
constexpr milliseconds settling_time{500};
// A quarter of the memory of a small node for a hundred downloads at once.
constexpr std::int64_t max_kib_per_stream = 400;

std::int64_t resident_kib() {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoll(line.substr(6));
        }
    }
    return -1;
}

asio::awaitable<body_part> next_part(std::size_t index) {
    if (index >= body_parts) {
        co_return body_end{};
    }
    co_return std::string(part_bytes, 'x');
}

// Sends a body of a gigabyte, or a small one.
asio::awaitable<http_response> respond_from_origin(http_request request) {
    http_response response;
    if (request.target == "/small") {
        response.body = "small";
        co_return response;
    }
    body_source source;
    source.read = [sent = std::make_shared<std::size_t>(0)] { return next_part((*sent)++); };
    source.remaining = body_parts * part_bytes;
    response.rest = std::make_shared<body_stream>(std::move(source));
    co_return response;
}

asio::awaitable<http_response> relay(connection_pool& pool, socket_address origin,
                                     http_request request) {
    exchange_options options;
    options.whole_body_bytes = whole_body_bytes;
    auto const deadline = std::chrono::steady_clock::now() + exchange_timeout;
    auto outcome = co_await pool.exchange(std::move(origin), std::move(request), deadline, options);
    if (auto* response = std::get_if<http_response>(&outcome)) {
        co_return std::move(*response);
    }
    co_return http_response{502, {}, ""};
}

tcp::socket start_download(asio::io_context& context, socket_address const& address) {
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    asio::write(socket, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: a\r\n\r\n")));
    return socket;
}

void read_until_closed(tcp::socket& socket) {
    std::vector<char> bytes(part_bytes);
    boost::system::error_code ended;
    while (!ended) {
        socket.read_some(asio::buffer(bytes), ended);
    }
}

// Returns the given quantiles of the time that small requests take, in microseconds.
std::vector<double> time_small_requests(socket_address const& address,
                                        std::vector<double> const& quantiles) {
    asio::io_context context;
    connection_pool client(context);
    std::vector<double> times;
    for (int index = 0; index < small_requests; ++index) {
        auto const started = std::chrono::steady_clock::now();
        auto answer = asio::co_spawn(
            context,
            client.exchange(address, {"GET", "/small", {}, {}}, started + exchange_timeout),
            asio::use_future);
        context.restart();
        context.run();
        if (std::holds_alternative<exchange_failure>(answer.get())) {
            return {};
        }
        std::chrono::duration<double, std::micro> const elapsed =
            std::chrono::steady_clock::now() - started;
        times.push_back(elapsed.count());
    }
    std::ranges::sort(times);
    std::vector<double> read;
    for (double const quantile : quantiles) {
        read.push_back(times[static_cast<std::size_t>(quantile * (small_requests - 1))]);
    }
    return read;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App arguments("Measures memory and delay of large bodies at a node that passes them on.");
    bool is_check = false;
    arguments.add_flag("--check", is_check, "fail if a download takes more memory than its bound");
    CLI11_PARSE(arguments, argc, argv);

    asio::io_context context{1};
    http_server origin(context, respond_from_origin);
    auto const origin_address = value(origin.listen({"127.0.0.1", 0}));
    connection_pool pool(context, {}, stalled_readers + running_readers + 1);
    http_server node(context, [&](http_request request) {
        return relay(pool, origin_address, std::move(request));
    });
    auto const address = value(node.listen({"127.0.0.1", 0}));
    std::thread server([&context] { context.run(); });

    std::vector<double> const quantiles{0.5, 0.99};
    auto const alone = time_small_requests(address, quantiles);
    auto const before = resident_kib();
    asio::io_context client;
    std::vector<tcp::socket> downloads;
    for (int index = 0; index < stalled_readers; ++index) {
        downloads.push_back(start_download(client, address));
    }
    std::this_thread::sleep_for(settling_time);
    auto const kib_per_stream = (resident_kib() - before) / stalled_readers;
    std::vector<std::thread> readers;
    for (int index = 0; index < running_readers; ++index) {
        readers.emplace_back(
            [&downloads, index] { read_until_closed(downloads[static_cast<std::size_t>(index)]); });
    }
    auto const beside = time_small_requests(address, quantiles);
    context.stop();
    server.join();
    for (auto& socket : downloads) {
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
    for (auto& reader : readers) {
        reader.join();
    }
    bool const are_answered = !alone.empty() && !beside.empty();
    json::object const result{{"kib_per_stalled_download", kib_per_stream},
                              {"small_requests_us", json::value_from(alone)},
                              {"small_requests_beside_downloads_us", json::value_from(beside)}};
    std::cout << json::serialize(result) << "\n";
    return is_check && (!are_answered || kib_per_stream > max_kib_per_stream) ? 1 : 0;
}
