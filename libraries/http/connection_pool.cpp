#include "http/connection_pool.h"

#include "http/answer_kind.h"
#include "http/beast_messages.h"
#include "http/body_source.h"
#include "http/body_stream.h"
#include "http/byte_draw.h"
#include "http/client_connection.h"
#include "http/connection_table.h"
#include "http/http_version.h"
#include "http/response_receiver.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <optional>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t max_mismatched_responses = 4;
// A server could hold an exchange with interim responses until its deadline.
constexpr std::size_t max_interim_responses = 32;
// A body up to this size is received whatever other bodies take.
constexpr std::size_t guaranteed_body_bytes = std::size_t{64} * 1024;

exchange_failure make_failure(result_code code, socket_address const& address,
                              std::string const& reason, exchange_progress progress) {
    return {error{code, to_string(address) + ": " + reason}, progress};
}

// The message refers to the body of the request.
http::request<http::span_body<char const>> to_message(socket_address const& address,
                                                      http_request const& request) {
    http::request<http::span_body<char const>> message;
    message.version(detail::http_version_1_1);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, request.host.empty() ? to_string(address) : request.host);
    detail::to_beast(request.headers, message);
    auto const& body = request.shared_body ? *request.shared_body : request.body;
    message.body() = {body.data(), body.size()};
    message.prepare_payload();
    return message;
}

} // namespace

class connection_pool::implementation {
public:
    implementation(asio::io_context& io, http_limits bounds, std::size_t per_address,
                   byte_budget account)
        : limits(bounds), table(io, per_address), budget(std::move(account)) {}

    // Owns a connection for the duration of an exchange and closes it on destruction unless it was
    // returned to the pool.
    class connection_checkout {
    public:
        connection_checkout(std::shared_ptr<implementation> owner, socket_address address)
            : owner(std::move(owner)), address(std::move(address)) {}
        ~connection_checkout() {
            if (this->current) {
                this->owner->table.close(this->address, std::move(this->current));
            }
        }
        connection_checkout(connection_checkout const&) = delete;
        connection_checkout& operator=(connection_checkout const&) = delete;
        connection_checkout(connection_checkout&&) = delete;
        connection_checkout& operator=(connection_checkout&&) = delete;

        void return_to_pool() {
            this->owner->table.put_idle(this->address, std::move(this->current));
        }

        std::shared_ptr<implementation> owner;
        socket_address address;
        detail::connection_table::connection_pointer current;
    };

    // A response that is being received, and its connection.
    struct incoming_response {
        incoming_response(std::shared_ptr<connection_checkout> source, http_limits const& limits,
                          exchange_options const& options, detail::expected_body expected)
            : checkout(std::move(source))
            , receiver(*this->checkout->current, limits.header_bytes,
                       options.whole_body_bytes ? std::nullopt
                                                : std::optional<std::uint64_t>(limits.body_bytes),
                       expected) {}

        // Trailing bytes belong to no request of this client; the connection is not reused.
        void release_connection() {
            auto& used = *this->checkout->current;
            if (this->receiver.keeps_connection() && used.buffer.size() == 0) {
                used.idle_limit = this->receiver.granted_idle_time();
                this->checkout->return_to_pool();
            }
        }

        std::shared_ptr<connection_checkout> checkout;
        detail::response_receiver receiver;
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

    // Receives the response, whole unless the options allow a stream for a body of its size. The
    // body is counted while it grows, so that it cannot exceed the limits.
    static asio::awaitable<boost::system::error_code> receive(implementation& self,
                                                              detail::response_receiver& receiver,
                                                              exchange_options const& options,
                                                              byte_draw& draw) {
        received_body body(self);
        while (!receiver.is_complete()) {
            auto const failed = co_await receiver.receive_some();
            if (failed) {
                co_return failed;
            }
            bool const has_budget =
                draw.grow_to(receiver.body_size(), std::chrono::steady_clock::now());
            bool const has_room = body.grow_to(receiver.body_size()) && has_budget;
            if (!options.whole_body_bytes) {
                if (!has_room) {
                    co_return http::make_error_code(http::error::body_limit);
                }
            } else if (!has_room || receiver.body_size() > *options.whole_body_bytes) {
                break;
            }
        }
        co_return boost::system::error_code{};
    }

    // Receives the rest of a response that belongs to another request.
    static asio::awaitable<boost::system::error_code>
    discard_rest(detail::response_receiver& receiver) {
        receiver.take_body();
        while (!receiver.is_complete()) {
            auto const failed = co_await receiver.receive_some();
            receiver.take_body();
            if (failed) {
                co_return failed;
            }
        }
        co_return boost::system::error_code{};
    }

    // Receives the next part of a body that is returned as a stream.
    static asio::awaitable<body_part> read_part(std::shared_ptr<incoming_response> incoming) {
        auto& receiver = incoming->receiver;
        while (receiver.body_size() == 0 && !receiver.is_complete()) {
            auto const failed = co_await receiver.receive_some();
            if (failed) {
                co_return error{result_code::request_answer_incomplete,
                                to_string(incoming->checkout->address) + ": " + failed.message()};
            }
        }
        if (receiver.body_size() > 0) {
            co_return receiver.take_body();
        }
        if (incoming->checkout->current) {
            incoming->release_connection();
        }
        co_return body_end{};
    }

    static std::shared_ptr<body_stream>
    make_stream(std::shared_ptr<incoming_response> const& incoming) {
        body_source source;
        source.read = [incoming] { return read_part(incoming); };
        source.cancel = [incoming] {
            if (incoming->checkout->current) {
                incoming->checkout->current->stream.cancel();
            }
        };
        source.remaining = incoming->receiver.remaining_length();
        return std::make_shared<body_stream>(std::move(source));
    }

    std::size_t connections(socket_address const& address) const {
        return this->table.count(address);
    }

    // Provides an idle or a new connection; returns the failure if there is none.
    static asio::awaitable<std::optional<exchange_failure>>
    open(std::shared_ptr<connection_checkout> checkout, steady_time deadline,
         exchange_options const& options) {
        auto& table = checkout->owner->table;
        checkout->current = table.take_idle(checkout->address, options.reuse);
        if (checkout->current) {
            co_return std::nullopt;
        }
        checkout->current = table.create(checkout->address);
        if (!checkout->current) {
            co_return make_failure(result_code::request_overloaded, checkout->address,
                                   "connection limit of the address reached",
                                   exchange_progress::not_sent);
        }
        auto const limit =
            std::min(deadline, std::chrono::steady_clock::now() + options.connect_timeout);
        auto const failed = co_await checkout->current->connect(checkout->address, limit);
        if (failed) {
            co_return make_failure(result_code::request_connect_failed, checkout->address,
                                   failed.message(), exchange_progress::not_sent);
        }
        co_return std::nullopt;
    }

    static asio::awaitable<exchange_result> exchange(std::shared_ptr<implementation> self,
                                                     socket_address address, http_request request,
                                                     steady_time deadline,
                                                     exchange_options options) {
        self->table.sweep();
        auto const checkout = std::make_shared<connection_checkout>(self, address);
        if (auto unopened = co_await open(checkout, deadline, options)) {
            co_return std::move(*unopened);
        }
        auto message = to_message(address, request);
        auto& stream = checkout->current->stream;
        stream.expires_at(deadline);
        auto const [write_error, written] = co_await http::async_write(stream, message, to_tuple);
        if (write_error) {
            co_return make_failure(
                result_code::request_outcome_unknown, address, write_error.message(),
                written == 0 ? exchange_progress::not_sent : exchange_progress::sent);
        }
        auto const expected = message.method() == http::verb::head ? detail::expected_body::none
                                                                   : detail::expected_body::any;
        std::size_t interim = 0;
        for (std::size_t skipped = 0; skipped <= max_mismatched_responses; ++skipped) {
            auto const incoming =
                std::make_shared<incoming_response>(checkout, self->limits, options, expected);
            auto& receiver = incoming->receiver;
            auto const draw = std::make_shared<byte_draw>(self->budget, "");
            auto const read_error = co_await receive(*self, receiver, options, *draw);
            if (read_error) {
                bool const has_begun = receiver.has_begun();
                co_return make_failure(has_begun ? result_code::request_answer_incomplete
                                                 : result_code::request_outcome_unknown,
                                       address, read_error.message(), exchange_progress::sent);
            }
            auto const kind = classify_status(receiver.status());
            if (kind == answer_kind::interim && ++interim <= max_interim_responses) {
                --skipped;
                continue;
            }
            if (kind != answer_kind::final) {
                co_return make_failure(result_code::request_answer_mismatched, address,
                                       "received status " + std::to_string(receiver.status()) +
                                           ", which is no answer",
                                       exchange_progress::sent);
            }
            if (receiver.is_unframed() && !options.accepts_close_delimited) {
                co_return make_failure(
                    result_code::request_answer_incomplete, address,
                    "response has no length, so a truncated body could not be detected",
                    exchange_progress::sent);
            }
            auto response = receiver.head();
            if (options.match && options.match(response) == response_match::mismatched) {
                if (co_await discard_rest(receiver) || !receiver.keeps_connection()) {
                    break;
                }
                continue;
            }
            response.body = receiver.take_body();
            response.body_draw = draw;
            if (receiver.is_complete()) {
                incoming->release_connection();
            } else {
                response.rest = make_stream(incoming);
            }
            co_return response;
        }
        co_return make_failure(result_code::request_answer_mismatched, address,
                               "received only responses to other requests",
                               exchange_progress::sent);
    }

private:
    http_limits limits;
    detail::connection_table table;
    std::size_t received_bytes = 0;
    byte_budget budget;
};

connection_pool::connection_pool(asio::io_context& context, http_limits limits,
                                 std::size_t connections_per_address, byte_budget budget)
    : self(std::make_shared<implementation>(context, limits, connections_per_address,
                                            std::move(budget))) {}

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
