#include "http/connection_pool.h"

#include "http/beast_messages.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <map>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);

// Shorter than the server's idle timeout of 60 s, so that the client closes idle connections first.
constexpr milliseconds max_idle_time{20'000};
// For requests that must not be sent twice. Long enough for two nodes with steady traffic to reuse
// their connections.
constexpr milliseconds recent_idle_limit{1000};
// TCP options that close a connection to an unresponsive peer when sent data or keep-alive probes
// stay unacknowledged.
using keep_alive_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_alive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_alive_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using unacknowledged_limit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
constexpr int keep_alive_seconds = 1;
constexpr int keep_alive_probes = 2;
constexpr int unacknowledged_milliseconds = 1500;
constexpr std::size_t max_mismatched_responses = 4;
constexpr std::size_t idle_connections_per_address = 32;
// Limits headers, chunk extensions and trailers, which a parser can only process as a whole.
constexpr std::size_t max_buffer_bytes = std::size_t{128} * 1024;
// A body up to this size is received whatever other bodies take.
constexpr std::size_t guaranteed_body_bytes = std::size_t{64} * 1024;
constexpr seconds sweep_period{5};

struct connection {
    explicit connection(asio::io_context& context) : stream(context) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_buffer_bytes};
    steady_time last_used;
    /// Time for which the idle connection may be reused: the server's idle timeout less a margin.
    milliseconds idle_limit = max_idle_time;
};

using response_parser = http::response_parser<http::string_body>;
using connection_pointer = std::unique_ptr<connection>;

// On a usable idle connection there is nothing to read: neither data nor the end of the stream.
bool is_alive(connection& candidate) {
    char byte = 0;
    auto const received =
        ::recv(candidate.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
           candidate.buffer.size() == 0;
}

// The idle timeout from the server's Keep-Alive field, less a margin for network latency.
milliseconds granted_idle_time(http::fields const& headers) {
    auto const field = headers[http::field::keep_alive];
    auto const position = field.find("timeout=");
    unsigned granted = 0;
    if (position == beast::string_view::npos ||
        std::from_chars(field.data() + position + std::strlen("timeout="),
                        field.data() + field.size(), granted)
                .ec != std::errc{}) {
        return max_idle_time;
    }
    return std::min(max_idle_time, milliseconds(seconds(granted)) * 7 / 10);
}

exchange_failure make_failure(result_code code, socket_address const& address,
                              std::string const& reason, exchange_progress progress) {
    return {error{code, to_string(address) + ": " + reason}, progress};
}

http::request<http::string_body> to_message(socket_address const& address, http_request&& request) {
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, request.host.empty() ? to_string(address) : request.host);
    detail::to_beast(request.headers, message);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace

class connection_pool::implementation {
public:
    implementation(asio::io_context& io, http_limits bounds, std::size_t per_address)
        : context(io), limits(bounds), connections_per_address(per_address) {}

    struct address_state {
        std::size_t open = 0;
        std::vector<connection_pointer> idle;
    };

    // Owns a connection for the duration of an exchange and closes it on destruction unless it was
    // returned to the pool.
    class connection_checkout {
    public:
        connection_checkout(std::shared_ptr<implementation> owner, socket_address address)
            : owner(std::move(owner)), address(std::move(address)) {}
        ~connection_checkout() {
            if (this->current) {
                this->owner->close(this->address, std::move(this->current));
            }
        }
        connection_checkout(connection_checkout const&) = delete;
        connection_checkout& operator=(connection_checkout const&) = delete;
        connection_checkout(connection_checkout&&) = delete;
        connection_checkout& operator=(connection_checkout&&) = delete;

        void return_to_pool() {
            this->owner->return_to_pool(this->address, std::move(this->current));
        }

        connection_pointer current;

    private:
        std::shared_ptr<implementation> owner;
        socket_address address;
    };

    // Counts the size of a body that is being received, for the lifetime of the object.
    class received_body {
    public:
        explicit received_body(implementation& owner) : owner(owner) {}
        ~received_body() { this->owner.received_bytes -= this->size; }
        received_body(received_body const&) = delete;
        received_body& operator=(received_body const&) = delete;
        received_body(received_body&&) = delete;
        received_body& operator=(received_body&&) = delete;

        // Returns whether the body may be received further.
        bool grow_to(std::size_t next) {
            this->owner.received_bytes += next - this->size;
            this->size = next;
            return next <= guaranteed_body_bytes ||
                   this->owner.received_bytes <= this->owner.limits.received_bytes;
        }

    private:
        implementation& owner;
        std::size_t size = 0;
    };

    // Reads one response. The body is counted while it grows, so that it cannot exceed the limits.
    static asio::awaitable<boost::system::error_code>
    read_response(implementation& self, connection& source, response_parser& parser) {
        received_body body(self);
        // Header and body are parsed in one step if they have arrived together.
        parser.eager(true);
        while (!parser.is_done()) {
            auto const [read_error, size] =
                co_await http::async_read_some(source.stream, source.buffer, parser, to_tuple);
            if (read_error == http::error::end_of_stream && parser.got_some()) {
                boost::system::error_code end_error;
                parser.put_eof(end_error);
                co_return end_error;
            }
            if (read_error) {
                co_return read_error;
            }
            if (!body.grow_to(parser.get().body().size())) {
                co_return http::make_error_code(http::error::body_limit);
            }
        }
        co_return boost::system::error_code{};
    }

    connection_pointer take_idle(socket_address const& address, connection_reuse reuse) {
        auto const found = this->addresses.find(address);
        if (found == this->addresses.end()) {
            return nullptr;
        }
        auto const now = std::chrono::steady_clock::now();
        auto& idle = found->second.idle;
        while (!idle.empty()) {
            auto candidate = std::move(idle.back());
            idle.pop_back();
            if (now - candidate->last_used < candidate->idle_limit && is_alive(*candidate)) {
                if (reuse == connection_reuse::any ||
                    now - candidate->last_used < recent_idle_limit) {
                    return candidate;
                }
                idle.push_back(std::move(candidate));
                return nullptr;
            }
            this->close(address, std::move(candidate));
        }
        return nullptr;
    }

    connection_pointer create_connection(socket_address const& address) {
        auto& state = this->addresses[address];
        if (state.open >= this->connections_per_address && !state.idle.empty()) {
            this->close(address, std::move(state.idle.front()));
            state.idle.erase(state.idle.begin());
        }
        if (state.open >= this->connections_per_address) {
            return nullptr;
        }
        ++state.open;
        return std::make_unique<connection>(this->context);
    }

    void return_to_pool(socket_address const& address, connection_pointer released) {
        auto& state = this->addresses[address];
        if (state.idle.size() >= idle_connections_per_address) {
            this->close(address, std::move(released));
            return;
        }
        released->last_used = std::chrono::steady_clock::now();
        released->stream.expires_never();
        state.idle.push_back(std::move(released));
    }

    void close(socket_address const& address, connection_pointer released) {
        released.reset();
        --this->addresses[address].open;
    }

    // Closes connections that exceed their idle limit and removes addresses without connections.
    void sweep() {
        auto const now = std::chrono::steady_clock::now();
        if (now - this->last_sweep < sweep_period) {
            return;
        }
        this->last_sweep = now;
        for (auto entry = this->addresses.begin(); entry != this->addresses.end();) {
            auto& state = entry->second;
            state.open -= std::erase_if(state.idle, [&](connection_pointer const& candidate) {
                return now - candidate->last_used >= candidate->idle_limit;
            });
            entry = state.open == 0 ? this->addresses.erase(entry) : std::next(entry);
        }
    }

    std::size_t connections(socket_address const& address) const {
        auto const found = this->addresses.find(address);
        return found == this->addresses.end() ? 0 : found->second.open;
    }

    static asio::awaitable<exchange_result> exchange(std::shared_ptr<implementation> self,
                                                     socket_address address, http_request request,
                                                     steady_time deadline,
                                                     exchange_options options) {
        self->sweep();
        connection_checkout checkout(self, address);
        checkout.current = self->take_idle(address, options.reuse);
        if (!checkout.current) {
            checkout.current = self->create_connection(address);
            if (!checkout.current) {
                co_return make_failure(result_code::request_overloaded, address,
                                       "connection limit of the address reached",
                                       exchange_progress::not_sent);
            }
            boost::system::error_code const connect_error =
                co_await connect(*checkout.current, address, deadline, options.connect_timeout);
            if (connect_error) {
                co_return make_failure(result_code::request_connect_failed, address,
                                       connect_error.message(), exchange_progress::not_sent);
            }
        }
        auto message = to_message(address, std::move(request));
        auto& stream = checkout.current->stream;
        stream.expires_at(deadline);
        auto const [write_error, written] = co_await http::async_write(stream, message, to_tuple);
        if (write_error) {
            co_return make_failure(
                result_code::request_outcome_unknown, address, write_error.message(),
                written == 0 ? exchange_progress::not_sent : exchange_progress::sent);
        }
        for (std::size_t skipped = 0; skipped <= max_mismatched_responses; ++skipped) {
            response_parser parser;
            parser.body_limit(self->limits.body_bytes);
            parser.header_limit(self->limits.header_bytes);
            parser.skip(message.method() == http::verb::head);
            auto const read_error = co_await read_response(*self, *checkout.current, parser);
            if (read_error) {
                bool const has_begun = parser.got_some();
                co_return make_failure(has_begun ? result_code::request_answer_incomplete
                                                 : result_code::request_outcome_unknown,
                                       address, read_error.message(), exchange_progress::sent);
            }
            bool const is_unframed =
                parser.need_eof() && !parser.chunked() && !parser.content_length();
            if (is_unframed && !options.accepts_close_delimited) {
                co_return make_failure(
                    result_code::request_answer_incomplete, address,
                    "response has no length, so a truncated body could not be detected",
                    exchange_progress::sent);
            }
            auto received = parser.release();
            bool const keeps_alive = received.keep_alive() && !is_unframed;
            auto const idle_limit = granted_idle_time(received);
            http_response response{received.result_int(), detail::from_beast(received),
                                   std::move(received.body())};
            if (options.match && options.match(response) == response_match::mismatched) {
                if (!keeps_alive) {
                    break;
                }
                continue;
            }
            // Trailing bytes belong to no request of this client; the connection is not reused.
            if (keeps_alive && checkout.current->buffer.size() == 0) {
                checkout.current->idle_limit = idle_limit;
                checkout.return_to_pool();
            }
            co_return response;
        }
        co_return make_failure(result_code::request_answer_mismatched, address,
                               "received only responses to other requests",
                               exchange_progress::sent);
    }

private:
    static asio::awaitable<boost::system::error_code> connect(connection& opened,
                                                              socket_address const& address,
                                                              steady_time deadline,
                                                              milliseconds timeout) {
        boost::system::error_code failed;
        auto const ip = asio::ip::make_address(address.ip, failed);
        if (failed) {
            co_return failed;
        }
        opened.stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + timeout));
        auto const [connect_error] =
            co_await opened.stream.async_connect(tcp::endpoint(ip, address.port), to_tuple);
        if (!connect_error) {
            opened.stream.socket().set_option(tcp::no_delay(true), failed);
            opened.stream.socket().set_option(asio::socket_base::keep_alive(true), failed);
            opened.stream.socket().set_option(keep_alive_idle(keep_alive_seconds), failed);
            opened.stream.socket().set_option(keep_alive_interval(keep_alive_seconds), failed);
            opened.stream.socket().set_option(keep_alive_count(keep_alive_probes), failed);
            opened.stream.socket().set_option(unacknowledged_limit(unacknowledged_milliseconds),
                                              failed);
        }
        co_return connect_error;
    }

    asio::io_context& context;
    http_limits limits;
    std::size_t connections_per_address;
    std::size_t received_bytes = 0;
    std::map<socket_address, address_state> addresses;
    steady_time last_sweep;
};

connection_pool::connection_pool(asio::io_context& context, http_limits limits,
                                 std::size_t connections_per_address)
    : self(std::make_shared<implementation>(context, limits, connections_per_address)) {}

connection_pool::~connection_pool() = default;

asio::awaitable<connection_pool::exchange_result>
connection_pool::exchange(socket_address address, http_request request, steady_time deadline,
                          connection_reuse reuse) {
    exchange_options options;
    options.reuse = reuse;
    return implementation::exchange(this->self, std::move(address), std::move(request), deadline,
                                    std::move(options));
}

asio::awaitable<connection_pool::exchange_result>
connection_pool::exchange(socket_address address, http_request request, steady_time deadline,
                          exchange_options options) {
    return implementation::exchange(this->self, std::move(address), std::move(request), deadline,
                                    std::move(options));
}

std::size_t connection_pool::connections(socket_address const& address) const {
    return this->self->connections(address);
}

} // namespace peridot
