#include "processes/support/pipelined_caller.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace peridot::processes {

namespace asio = boost::asio;

class pipelined_caller::implementation {
public:
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
};

pipelined_caller::pipelined_caller(socket_address const& address)
    : self(std::make_unique<implementation>()) {
    this->self->socket.connect({asio::ip::make_address(address.ip), address.port});
}

pipelined_caller::~pipelined_caller() = default;

void pipelined_caller::send(std::string const& bytes) {
    asio::write(this->self->socket, asio::buffer(bytes));
}

std::string pipelined_caller::read_all() {
    std::string read;
    boost::system::error_code ended;
    asio::read(this->self->socket, asio::dynamic_buffer(read), ended);
    return read;
}

} // namespace peridot::processes
