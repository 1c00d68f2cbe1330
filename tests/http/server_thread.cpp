#include "http/server_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <thread>

namespace peridot::http_tests {

namespace asio = boost::asio;

class server_thread::implementation {
public:
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    std::unique_ptr<http_server> server;
    std::thread thread;
};

server_thread::server_thread() : self(std::make_unique<implementation>()) {}

server_thread::~server_thread() {
    this->self->context.stop();
    if (this->self->thread.joinable()) {
        this->self->thread.join();
    }
}

socket_address server_thread::start(http_server::handler respond, http_limits limits,
                                    byte_budget const& budget) {
    this->self->server =
        std::make_unique<http_server>(this->self->context, std::move(respond), limits, budget);
    auto const bound = this->self->server->listen({"127.0.0.1", 0});
    this->self->thread = std::thread([this] { this->self->context.run(); });
    return is_ok(bound) ? value(bound) : socket_address{};
}

asio::io_context& server_thread::io() {
    return this->self->context;
}

std::size_t server_thread::requests_in_flight() {
    auto const read = [this] { return this->self->server->requests_in_flight(); };
    return asio::post(this->self->context, asio::use_future(read)).get();
}

http_server& server_thread::server() {
    return *this->self->server;
}

} // namespace peridot::http_tests
