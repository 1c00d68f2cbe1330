#include "http/raw_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <thread>

namespace peridot::http_tests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class raw_server::implementation {
public:
    explicit implementation(std::string text)
        : response(std::move(text))
        , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
        this->acceptor.async_accept([this](boost::system::error_code failed, tcp::socket socket) {
            if (!failed) {
                this->reply(std::move(socket));
            }
        });
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

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    void reply(tcp::socket socket) const {
        boost::system::error_code ignored;
        std::array<char, 4096> request{};
        socket.read_some(asio::buffer(request), ignored);
        asio::write(socket, asio::buffer(this->response), ignored);
        socket.shutdown(tcp::socket::shutdown_both, ignored);
    }

    std::string response;
    asio::io_context context{1};
    tcp::acceptor acceptor;
    std::thread thread;
};

raw_server::raw_server(std::string response)
    : self(std::make_unique<implementation>(std::move(response))) {}

raw_server::~raw_server() = default;

socket_address raw_server::address() const {
    return {"127.0.0.1", this->self->port()};
}

} // namespace peridot::http_tests
