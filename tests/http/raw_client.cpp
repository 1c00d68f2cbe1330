#include "http/raw_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace peridot::http_tests {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

void connect(tcp::socket& socket, socket_address const& address) {
    socket.connect({asio::ip::make_address(address.ip), address.port});
}

} // namespace

void send_and_close(socket_address const& address, std::string const& bytes) {
    asio::io_context context;
    tcp::socket socket(context);
    connect(socket, address);
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    // The server responds or closes after the end of the input; either completes this read.
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> response{};
    socket.read_some(asio::buffer(response), ignored);
}

class raw_connection::implementation {
public:
    explicit implementation(socket_address const& address) { connect(this->socket, address); }

    asio::io_context context;
    tcp::socket socket{context};
};

raw_connection::raw_connection(socket_address const& address)
    : self(std::make_unique<implementation>(address)) {}

raw_connection::~raw_connection() = default;

void raw_connection::send(std::string const& bytes) {
    boost::system::error_code ignored;
    asio::write(this->self->socket, asio::buffer(bytes), ignored);
}

std::string raw_connection::read_some() {
    std::array<char, 4096> bytes{};
    boost::system::error_code ended;
    auto const size = this->self->socket.read_some(asio::buffer(bytes), ended);
    return {bytes.data(), size};
}

std::string raw_connection::read_all() {
    std::string bytes;
    boost::system::error_code ended;
    asio::read(this->self->socket, asio::dynamic_buffer(bytes), ended);
    return bytes;
}

void raw_connection::reset() {
    boost::system::error_code ignored;
    this->self->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->self->socket.close(ignored);
}

std::string send_and_read(socket_address const& address, std::string const& bytes) {
    raw_connection connection(address);
    connection.send(bytes);
    return connection.read_all();
}

void wait_until_closed(socket_address const& address) {
    asio::io_context context;
    tcp::socket socket(context);
    connect(socket, address);
    boost::system::error_code ignored;
    std::array<char, 1> byte{};
    socket.read_some(asio::buffer(byte), ignored);
}

} // namespace peridot::http_tests
