// Compares the cost of a socket for control messages: threads, resident memory, processor time and
// round-trip time of a typical message, for a UDP socket of Asio and for an nng pair over TCP.

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <nng/nng.h>
#include <nng/protocol/pair0/pair.h>

#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <string>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr int round_trips = 5000;
// Size of a membership datagram with its attachments.
constexpr std::size_t message_bytes = 200;

std::int64_t status_field(std::string const& name) {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":")) {
            return std::stoll(line.substr(name.size() + 1));
        }
    }
    return -1;
}

double processor_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

json::object report(std::string const& transport, std::int64_t threads_before,
                    std::int64_t kib_before, double processor_before,
                    std::chrono::steady_clock::time_point started) {
    std::chrono::duration<double, std::micro> const elapsed =
        std::chrono::steady_clock::now() - started;
    return {{"transport", transport},
            {"threads", status_field("Threads") - threads_before},
            {"resident_kib", status_field("VmRSS") - kib_before},
            {"round_trip_us", elapsed.count() / round_trips},
            {"processor_us_per_round_trip",
             (processor_seconds() - processor_before) * 1e6 / round_trips}};
}

json::object measure_udp() {
    auto const threads = status_field("Threads");
    auto const memory = status_field("VmRSS");
    asio::io_context context;
    using udp = asio::ip::udp;
    udp::endpoint const loopback(asio::ip::address_v4::loopback(), 0);
    udp::socket left(context, loopback);
    udp::socket right(context, loopback);
    std::array<char, message_bytes> bytes{};
    udp::endpoint sender;
    auto const processor = processor_seconds();
    auto const started = std::chrono::steady_clock::now();
    for (int trip = 0; trip < round_trips; ++trip) {
        left.send_to(asio::buffer(bytes), right.local_endpoint());
        right.receive_from(asio::buffer(bytes), sender);
        right.send_to(asio::buffer(bytes), sender);
        left.receive(asio::buffer(bytes));
    }
    return report("udp", threads, memory, processor, started);
}

json::object measure_nng() {
    auto const threads = status_field("Threads");
    auto const memory = status_field("VmRSS");
    nng_socket left{};
    nng_socket right{};
    nng_listener listener{};
    if (nng_pair0_open(&left) != 0 || nng_pair0_open(&right) != 0 ||
        nng_listen(left, "tcp://127.0.0.1:0", &listener, 0) != 0) {
        return {{"transport", "nng"}, {"error", "cannot open sockets"}};
    }
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    if (nng_dial(right, ("tcp://127.0.0.1:" + std::to_string(port)).c_str(), nullptr, 0) != 0) {
        return {{"transport", "nng"}, {"error", "cannot connect"}};
    }
    std::array<char, message_bytes> bytes{};
    auto const processor = processor_seconds();
    auto const started = std::chrono::steady_clock::now();
    for (int trip = 0; trip < round_trips; ++trip) {
        std::size_t size = bytes.size();
        nng_send(right, bytes.data(), size, 0);
        nng_recv(left, bytes.data(), &size, 0);
        nng_send(left, bytes.data(), size, 0);
        nng_recv(right, bytes.data(), &size, 0);
    }
    auto outcome = report("nng", threads, memory, processor, started);
    nng_close(left);
    nng_close(right);
    return outcome;
}

} // namespace

int main() {
    auto const udp = measure_udp();
    auto const nng = measure_nng();
    std::cout << json::serialize(json::array{udp, nng}) << "\n";
    return 0;
}
