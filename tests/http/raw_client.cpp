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

std::string send_and_read(socket_address const& address, std::string const& bytes) {
    asio::io_context context;
    tcp::socket socket(context);
    connect(socket, address);
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    std::string responses;
    asio::read(socket, asio::dynamic_buffer(responses), ignored);
    return responses;
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
