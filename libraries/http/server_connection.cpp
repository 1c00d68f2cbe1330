#include "http/server_connection.h"

#include "http/body_stream.h"
#include "http/server_connections.h"

#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace peridot::detail {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

} // namespace

server_connection::server_connection(std::shared_ptr<server_connections> all, tcp::socket socket)
    : stream(std::move(socket))
    , state_changed(this->stream.get_executor(), steady_time::max())
    , all(std::move(all)) {
    this->all->open.insert(this);
    boost::system::error_code failed;
    this->address = this->stream.socket().remote_endpoint(failed).address().to_string();
}

server_connection::~server_connection() {
    this->all->open.erase(this);
    this->all->requests_in_flight -= this->pending.size();
}

void server_connection::push(std::shared_ptr<pending_exchange> exchange) {
    this->pending.push_back(std::move(exchange));
    ++this->all->requests_in_flight;
}

void server_connection::pop() {
    this->pending.pop_front();
    --this->all->requests_in_flight;
    this->last_used = std::chrono::steady_clock::now();
    this->notify();
}

bool server_connection::has_disconnected() {
    char byte = 0;
    auto const received =
        ::recv(this->stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void server_connection::cancel_handlers() {
    for (auto const& exchange : this->pending) {
        cancel_handler(this->stream.get_executor(), exchange);
    }
}

void server_connection::close() {
    this->is_closed = true;
    this->cancel_body();
    boost::system::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    this->stream.cancel();
    this->notify();
}

// The body of the response that is being written need not be received any further.
void server_connection::cancel_body() {
    if (!this->pending.empty() && this->pending.front()->response &&
        this->pending.front()->response->rest) {
        this->pending.front()->response->rest->cancel();
    }
}

} // namespace peridot::detail
