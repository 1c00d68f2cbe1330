#include "http/http_server.h"

#include "core/log.h"
#include "http/beast_messages.h"
#include "http/byte_draw.h"
#include "http/response_writer.h"
#include "http/server_connection.h"
#include "http/server_connections.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <optional>
#include <sys/socket.h>
#include <vector>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds sweep_period{1000};
// Time for the client to read the last response and to close its side.
constexpr milliseconds linger_time{500};
// Room beside the header for a part of a body and for chunk lines.
constexpr std::size_t buffer_margin = std::size_t{128} * 1024;
using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// A body without a stated length grows by doubling up to the first size. From then on its final
// memory is reserved, of which only the pages in use are resident, so that it is not copied while
// it grows.
constexpr std::size_t doubling_body_bytes = std::size_t{1024} * 1024;
constexpr std::size_t reserved_body_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t discard_bytes = std::size_t{16} * 1024;

// The request has not been passed on. Stalled bodies are evicted after a second, so there is room
// then if they are what fills the memory.
http_response make_memory_refusal() {
    auto const code = static_cast<unsigned>(result_code::request_overloaded);
    return {503,
            {{"Retry-After", "1.000"},
             {"Peridot-Outcome", "not_run"},
             {"Peridot-Code", std::to_string(code)}},
            ""};
}

http_response make_error_response(boost::system::error_code reason) {
    bool const is_header_too_large =
        reason == http::error::header_limit || reason == http::error::buffer_overflow;
    unsigned const status = reason == http::error::body_limit ? 413
                            : is_header_too_large             ? 431
                                                              : 400;
    auto const code =
        status == 413 ? result_code::request_too_large : result_code::request_malformed;
    return {status,
            {{"Peridot-Outcome", "not_run"},
             {"Peridot-Code", std::to_string(static_cast<unsigned>(code))}},
            ""};
}

bool is_protocol_error(boost::system::error_code reason) {
    return reason.category() == http::make_error_code(http::error::end_of_stream).category() &&
           reason != http::error::end_of_stream && reason != http::error::partial_message;
}

} // namespace

class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, handler callback, http_limits bounds, byte_budget account)
        : context(io)
        , acceptor(io)
        , respond(std::move(callback))
        , limits(bounds)
        , budget(std::move(account)) {}

    result<socket_address> listen(socket_address const& address) {
        boost::system::error_code failed;
        auto const ip = asio::ip::make_address(address.ip, failed);
        tcp::endpoint const endpoint(ip, address.port);
        if (!failed) {
            this->acceptor.open(endpoint.protocol(), failed);
        }
        if (!failed) {
            this->acceptor.set_option(asio::socket_base::reuse_address(true), failed);
            this->acceptor.set_option(reuse_port(true), failed);
            this->acceptor.bind(endpoint, failed);
        }
        if (!failed) {
            this->acceptor.listen(asio::socket_base::max_listen_connections, failed);
        }
        if (failed) {
            return error{result_code::address_unavailable,
                         "cannot listen on " + to_string(address) + ": " + failed.message()};
        }
        auto const bound = this->acceptor.local_endpoint(failed);
        asio::co_spawn(this->context, accept_loop(this->shared_from_this()), asio::detached);
        return socket_address{bound.address().to_string(), bound.port()};
    }

    void stop_accepting() {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        this->is_stopping = true;
    }

    void close_after_next_response() { this->is_stopping = true; }

    void close_idle_connections() {
        for (auto* candidate : this->connections->open) {
            if (candidate->is_idle()) {
                candidate->close();
            }
        }
    }

    void cancel_handlers() {
        // Completion of a handler may close its connection and remove it from the set.
        std::vector<std::shared_ptr<detail::pending_exchange>> running;
        for (auto const* candidate : this->connections->open) {
            std::ranges::copy_if(candidate->pending, std::back_inserter(running),
                                 [](auto const& exchange) { return !exchange->is_done; });
        }
        for (auto const& exchange : running) {
            detail::cancel_handler(this->context.get_executor(), exchange);
        }
    }

    void set_limits(http_limits const& bounds) { this->limits = bounds; }

    std::size_t requests_in_flight() const { return this->connections->requests_in_flight; }

private:
    using connection_pointer = std::shared_ptr<detail::server_connection>;

    static asio::awaitable<void> accept_loop(std::shared_ptr<implementation> self) {
        asio::co_spawn(self->context, sweep_loop(self), asio::detached);
        while (self->acceptor.is_open()) {
            auto [failed, socket] = co_await self->acceptor.async_accept(to_tuple);
            if (failed) {
                // Out of file descriptors: back off until connections are closed.
                asio::steady_timer pause(self->context, milliseconds(10));
                co_await pause.async_wait(to_tuple);
                continue;
            }
            if (self->connections->open.size() >= self->limits.connections &&
                !self->close_longest_idle()) {
                continue;
            }
            socket.set_option(tcp::no_delay(true), failed);
            auto const accepted =
                std::make_shared<detail::server_connection>(self->connections, std::move(socket));
            asio::co_spawn(self->context, read_loop(self, accepted), asio::detached);
            asio::co_spawn(self->context, write_loop(self, accepted), asio::detached);
        }
    }

    // Closes the connection that has been idle for the longest time; returns whether there is one.
    bool close_longest_idle() const {
        if (!this->limits.replaces_idle_connections) {
            return false;
        }
        detail::server_connection* found = nullptr;
        for (auto* candidate : this->connections->open) {
            if (candidate->is_idle() && !candidate->is_closed &&
                (found == nullptr || candidate->last_used < found->last_used)) {
                found = candidate;
            }
        }
        if (found != nullptr) {
            found->close();
        }
        return found != nullptr;
    }

    // Closes connections that exceed the idle timeout.
    static asio::awaitable<void> sweep_loop(std::shared_ptr<implementation> self) {
        asio::steady_timer timer(self->context);
        while (self->acceptor.is_open()) {
            timer.expires_after(sweep_period);
            co_await timer.async_wait(to_tuple);
            auto const now = std::chrono::steady_clock::now();
            // In order of last use, so that when a client observes a close, all connections that
            // have been idle for longer are closed too.
            std::vector<detail::server_connection*> by_last_use(self->connections->open.begin(),
                                                                self->connections->open.end());
            std::ranges::sort(by_last_use, {}, &detail::server_connection::last_used);
            for (auto* candidate : by_last_use) {
                if (candidate->is_idle() &&
                    now - candidate->last_used > self->limits.idle_timeout) {
                    candidate->close();
                }
            }
        }
    }

    static asio::awaitable<void> read_loop(std::shared_ptr<implementation> self,
                                           connection_pointer client) {
        while (!client->is_closed) {
            // NOTE: g++ 12 miscompiles co_await behind an operator in the condition of a loop.
            bool const is_read = co_await self->read_request(client);
            if (!is_read) {
                break;
            }
            while (!client->is_closed &&
                   client->pending.size() >= self->limits.pipelined_requests) {
                co_await client->state_changed.async_wait(to_tuple);
            }
        }
        if (!client->has_stopped_reading) {
            // The client has disconnected; the pending responses can no longer be delivered.
            client->cancel_handlers();
            client->close();
        }
        client->notify();
    }

    // Reads one request and starts its handler. Returns false if no further request is to be read.
    asio::awaitable<bool> read_request(connection_pointer const& client) {
        auto& stream = client->stream;
        if (client->buffer.size() == 0) {
            auto const [failed] =
                co_await stream.socket().async_wait(tcp::socket::wait_read, to_tuple);
            if (failed || client->has_disconnected()) {
                co_return false;
            }
        }
        // A parser processes a line, the fields and the trailer as a whole, so the buffer limits
        // them. It also holds requests that the client has sent ahead.
        client->buffer.max_size(
            std::max(this->limits.header_bytes + buffer_margin, client->buffer.size()));
        http::request_parser<http::string_body> parser;
        parser.body_limit(this->limits.body_bytes);
        parser.header_limit(this->limits.header_bytes);
        auto const draw = this->make_draw(client);
        client->is_receiving = true;
        auto const read_error = co_await this->receive(*client, parser, *draw);
        client->is_receiving = false;
        draw->keep();
        if (read_error || client->is_refused) {
            if (!client->is_refused && !is_protocol_error(read_error)) {
                co_return false;
            }
            auto const rejected = std::make_shared<detail::pending_exchange>();
            rejected->response =
                client->is_refused ? make_memory_refusal() : make_error_response(read_error);
            rejected->keeps_alive = false;
            rejected->is_done = true;
            client->push(rejected);
            client->has_stopped_reading = true;
            co_return false;
        }
        stream.expires_never();
        // A closed connection can still hold unread requests, whose responses have no receiver.
        if (client->is_closed || client->has_stopped_reading || client->has_disconnected()) {
            co_return false;
        }
        this->start_handler(client, parser.release(), draw);
        co_return true;
    }

    // The draw of a body that is being received. It ends before the connection does.
    std::shared_ptr<byte_draw> make_draw(connection_pointer const& client) const {
        auto* const connection = client.get();
        return std::make_shared<byte_draw>(this->budget, client->address, [connection] {
            connection->is_refused = true;
            connection->stream.cancel();
        });
    }

    // Sets is_refused if the budget has no room for the body.
    asio::awaitable<boost::system::error_code>
    receive(detail::server_connection& client, http::request_parser<http::string_body>& parser,
            byte_draw& draw) {
        client.stream.expires_after(this->limits.header_timeout);
        auto const [header_error, header_size] =
            co_await http::async_read_header(client.stream, client.buffer, parser, to_tuple);
        if (header_error || parser.is_done()) {
            co_return header_error;
        }
        auto now = std::chrono::steady_clock::now();
        auto const end = now + this->limits.request_timeout;
        while (!parser.is_done() && !client.is_refused) {
            // Without a bound on memory, a body may pause for as long as its client likes.
            client.stream.expires_at(
                this->budget.is_bounded() ? std::min(end, now + this->limits.idle_timeout) : end);
            auto const [body_error, body_size] =
                co_await http::async_read_some(client.stream, client.buffer, parser, to_tuple);
            if (body_error) {
                co_return body_error;
            }
            now = std::chrono::steady_clock::now();
            auto& body = parser.get().body();
            if (!client.is_refused && !draw.grow_to(body.size(), now)) {
                client.is_refused = true;
                this->budget.report_refusal(client.address);
            }
            if (body.size() >= doubling_body_bytes && !parser.content_length()) {
                body.reserve(std::min(this->limits.body_bytes, reserved_body_bytes));
            }
        }
        if (client.is_refused) {
            // The memory is given back before the response is written.
            std::string().swap(parser.get().body());
        }
        co_return boost::system::error_code{};
    }

    void start_handler(connection_pointer const& client, http::request<http::string_body> message,
                       std::shared_ptr<byte_draw> draw) {
        auto const exchange = std::make_shared<detail::pending_exchange>();
        exchange->body_draw = std::move(draw);
        exchange->keeps_alive = message.keep_alive();
        exchange->version = message.version();
        exchange->is_head = message.method() == http::verb::head;
        http_request request{std::string(message.method_string()),
                             std::string(message.target()),
                             detail::from_beast(message),
                             std::move(message.body()),
                             std::string(message[http::field::host]),
                             nullptr};
        client->push(exchange);
        // The coroutine clears its cancellation slot in a last step of its own, after run_handler
        // has returned. The completion handler runs after that step and keeps the slot's owner.
        auto const keep_exchange = [exchange](std::exception_ptr const&) {};
        asio::co_spawn(this->context,
                       run_handler(this->shared_from_this(), client, exchange, std::move(request)),
                       asio::bind_cancellation_slot(exchange->cancel.slot(), keep_exchange));
    }

    // If the handler fails, the exchange has no response and its connection is closed.
    static asio::awaitable<void> run_handler(std::shared_ptr<implementation> self,
                                             connection_pointer client,
                                             std::shared_ptr<detail::pending_exchange> exchange,
                                             http_request request) {
        try {
            exchange->response = co_await self->respond(std::move(request));
        } catch (boost::system::system_error const& exception) {
            // operation_aborted: cancelled because the client has disconnected.
            if (exception.code() != asio::error::operation_aborted) {
                log::write(log::level::error, "request_handler_failed",
                           {{"reason", exception.what()}});
            }
        } catch (std::exception const& exception) {
            log::write(log::level::error, "request_handler_failed", {{"reason", exception.what()}});
        }
        exchange->is_done = true;
        client->notify();
    }

    static asio::awaitable<void> write_loop(std::shared_ptr<implementation> self,
                                            connection_pointer client) {
        for (;;) {
            while (!client->is_closed &&
                   (client->pending.empty() || !client->pending.front()->is_done)) {
                co_await client->state_changed.async_wait(to_tuple);
            }
            if (client->is_closed) {
                co_return;
            }
            auto const exchange = client->pending.front();
            if (!exchange->response) {
                break;
            }
            // While the server is stopping, the connection is closed after the last pending
            // response.
            bool const is_last = client->pending.size() == 1;
            bool const stays_open = exchange->keeps_alive &&
                                    !exchange->response->closes_connection &&
                                    detail::is_framed(*exchange->response, exchange->version) &&
                                    !(self->is_stopping && is_last);
            // Requests after the last response are not started: the client treats them as unread.
            client->has_stopped_reading |= !stays_open;
            detail::response_format const format{exchange->version, exchange->is_head, stays_open,
                                                 self->limits.idle_timeout};
            bool const is_written =
                co_await detail::write_response(client->stream, *exchange->response, format);
            client->pop();
            if (!is_written) {
                break;
            }
            if (!stays_open) {
                co_await close_gracefully(self, client);
                co_return;
            }
        }
        client->close();
    }

    // Closing a socket with unread data resets the connection, and the client may lose the
    // response. Therefore only the sending direction is shut down at first and the client is given
    // time to close its side.
    static asio::awaitable<void> close_gracefully(std::shared_ptr<implementation> self,
                                                  connection_pointer client) {
        client->cancel_handlers();
        client->has_stopped_reading = true;
        boost::system::error_code ignored;
        client->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        if (client->is_refused) {
            // A client that still sends its body reads the response only afterwards.
            co_await discard_input(*client);
        } else {
            asio::steady_timer linger(self->context, linger_time);
            co_await linger.async_wait(to_tuple);
        }
        client->close();
    }

    static asio::awaitable<void> discard_input(detail::server_connection& client) {
        client.buffer = {};
        std::vector<char> ignored(discard_bytes);
        client.stream.expires_after(linger_time);
        for (bool is_open = true; is_open;) {
            auto const [failed, size] =
                co_await client.stream.async_read_some(asio::buffer(ignored), to_tuple);
            is_open = !failed;
        }
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    handler respond;
    http_limits limits;
    byte_budget budget;
    /// Shared with the connections, which may outlive this object.
    std::shared_ptr<detail::server_connections> connections =
        std::make_shared<detail::server_connections>();
    bool is_stopping = false;
};

http_server::http_server(asio::io_context& context, handler respond, http_limits limits,
                         byte_budget budget)
    : self(std::make_shared<implementation>(context, std::move(respond), limits,
                                            std::move(budget))) {}

http_server::~http_server() {
    this->self->stop_accepting();
}

result<socket_address> http_server::listen(socket_address const& address) {
    return this->self->listen(address);
}

void http_server::stop_accepting() {
    this->self->stop_accepting();
}

void http_server::close_after_next_response() {
    this->self->close_after_next_response();
}

void http_server::close_idle_connections() {
    this->self->close_idle_connections();
}

void http_server::cancel_handlers() {
    this->self->cancel_handlers();
}

void http_server::set_limits(http_limits const& limits) {
    this->self->set_limits(limits);
}

std::size_t http_server::requests_in_flight() const {
    return this->self->requests_in_flight();
}

} // namespace peridot
