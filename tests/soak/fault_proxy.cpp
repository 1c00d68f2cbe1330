#include "soak/fault_proxy.h"

#include "core/time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <list>

namespace peridot::soak {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto to_tuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds delay{120};
constexpr std::size_t buffer_bytes = 16'384;

tcp::endpoint endpoint_of(socket_address const& address) {
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

class fault_proxy::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, socket_address const& listen, socket_address const& callee)
        : context(io), acceptor(io, endpoint_of(listen)), upstream(endpoint_of(callee)) {}

    struct link {
        link(tcp::socket accepted, asio::io_context& io)
            : caller_socket(std::move(accepted)), callee_socket(io) {}
        tcp::socket caller_socket;
        tcp::socket callee_socket;

        void reset() {
            boost::system::error_code ignored;
            for (auto* socket : {&this->caller_socket, &this->callee_socket}) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
        }
    };
    using link_pointer = std::shared_ptr<link>;

    static asio::awaitable<void> accept(std::shared_ptr<implementation> self) {
        while (self->acceptor.is_open()) {
            auto [failed, socket] = co_await self->acceptor.async_accept(to_tuple);
            if (!failed) {
                asio::co_spawn(self->context, serve(self, std::move(socket)), asio::detached);
            }
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<implementation> self, tcp::socket accepted) {
        auto const served = std::make_shared<link>(std::move(accepted), self->context);
        auto const [refused] =
            co_await served->callee_socket.async_connect(self->upstream, to_tuple);
        if (refused || self->state == link_state::reset) {
            served->reset();
            co_return;
        }
        self->links.push_back(served);
        asio::co_spawn(self->context, pump(self, served, true), asio::detached);
        co_await pump(self, served, false);
    }

    // Forwards bytes in one direction until either end closes.
    static asio::awaitable<void> pump(std::shared_ptr<implementation> self, link_pointer served,
                                      bool is_to_callee) {
        auto& from = is_to_callee ? served->caller_socket : served->callee_socket;
        auto& to = is_to_callee ? served->callee_socket : served->caller_socket;
        auto const dropping_state =
            is_to_callee ? link_state::requests_dropped : link_state::answers_dropped;
        std::array<char, buffer_bytes> piece{};
        bool is_dropping = false;
        for (;;) {
            auto const [ended, size] = co_await from.async_read_some(asio::buffer(piece), to_tuple);
            if (ended) {
                break;
            }
            // A stream with dropped bytes must not resume: the receiver would read corrupt data.
            is_dropping |= self->state == dropping_state;
            if (is_dropping) {
                continue;
            }
            if (self->state == link_state::delayed) {
                asio::steady_timer timer(self->context, delay);
                co_await timer.async_wait(to_tuple);
            }
            auto const [failed, written] =
                co_await asio::async_write(to, asio::buffer(piece.data(), size), to_tuple);
            if (failed) {
                break;
            }
        }
        if (!is_dropping) {
            boost::system::error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
        }
        if (!is_to_callee) {
            served->caller_socket.close();
            served->callee_socket.close();
            std::erase(self->links, served);
        }
    }

    void set_state(link_state next) {
        this->state = next;
        if (next == link_state::reset) {
            for (auto const& each : this->links) {
                each->reset();
            }
        }
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    tcp::endpoint upstream;
    /// Accessed only on the thread of the context.
    link_state state = link_state::normal;
    std::list<link_pointer> links;
};

fault_proxy::fault_proxy(asio::io_context& context, socket_address const& listen,
                         socket_address const& upstream)
    : self(std::make_shared<implementation>(context, listen, upstream)) {
    asio::co_spawn(context, implementation::accept(this->self), asio::detached);
}

fault_proxy::~fault_proxy() = default;

socket_address fault_proxy::address() const {
    auto const bound = this->self->acceptor.local_endpoint();
    return {bound.address().to_string(), bound.port()};
}

void fault_proxy::set(link_state state) {
    asio::post(this->self->context, [proxy = this->self, state] { proxy->set_state(state); });
}

} // namespace peridot::soak
