#include "http/endless_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace peridot::http_tests {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t block_bytes = std::size_t{64} * 1024;
// Ends the writing if a client reads without a limit.
constexpr std::size_t max_connection_bytes = std::size_t{512} * 1024 * 1024;

struct endless_form {
    std::string start;
    std::string repeated;
};

std::vector<endless_form> const& all_forms() {
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static std::vector<endless_form> const forms{
        {"", "no answer in any protocol "},
        {"HTTP/1.1 200 ", "O"},
        {"HTTP/1.1 200 OK\r\nX-Field: ", "y"},
        {"HTTP/1.1 200 OK\r\n", "X-Field: y\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {chunked + "1;", "z"},
        {chunked, "400\r\n" + std::string(1024, 'x') + "\r\n"},
        {chunked + "0\r\n", "X-Trailer: y\r\n"},
        {"HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n", "x"},
    };
    return forms;
}

} // namespace

class endless_server::implementation {
public:
    explicit implementation(socket_address const& address)
        : acceptor(context, tcp::endpoint(asio::ip::make_address(address.ip), address.port)) {
        asio::co_spawn(this->context, this->accept_all(), asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~implementation() {
        this->context.stop();
        this->thread.join();
    }
    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    asio::io_context context{1};
    tcp::acceptor acceptor;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> written{0};

private:
    asio::awaitable<void> accept_all() {
        for (;;) {
            auto [failed, socket] = co_await this->acceptor.async_accept(to_tuple);
            if (failed) {
                co_return;
            }
            auto const& form = all_forms()[this->connections++ % all_forms().size()];
            asio::co_spawn(this->context, this->write_without_end(std::move(socket), form),
                           asio::detached);
        }
    }

    asio::awaitable<void> write_without_end(tcp::socket socket, endless_form const& form) {
        // A server answers a request; its first bytes are enough to know that there is one.
        std::array<char, 4096> request{};
        co_await socket.async_read_some(asio::buffer(request), to_tuple);
        std::string block = form.start;
        std::string repeated;
        while (repeated.size() < block_bytes) {
            repeated += form.repeated;
        }
        std::size_t sent = 0;
        while (sent < max_connection_bytes) {
            auto const [failed, size] =
                co_await asio::async_write(socket, asio::buffer(block), to_tuple);
            sent += size;
            this->written += size;
            if (failed) {
                co_return;
            }
            block = repeated;
        }
    }

    std::thread thread;
};

endless_server::endless_server(socket_address const& address)
    : self(std::make_unique<implementation>(address)) {}

endless_server::~endless_server() = default;

socket_address endless_server::address() const {
    auto const bound = this->self->acceptor.local_endpoint();
    return {bound.address().to_string(), bound.port()};
}

std::size_t endless_server::connections() const {
    return this->self->connections;
}

std::size_t endless_server::written_bytes() const {
    return this->self->written;
}

std::size_t endless_server::forms() {
    return all_forms().size();
}

} // namespace peridot::http_tests
