#include "membership/membership_agent.h"

#include "core/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace peridot {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr milliseconds tick_period{100};
/// Prevents a flood of datagrams from starving other work on the thread.
constexpr int max_datagrams_per_wakeup = 256;
/// Larger than the datagram size limit, so that an oversized one is detected and not truncated.
constexpr std::size_t receive_buffer_bytes = 2048;

steady_time current_time() {
    return std::chrono::steady_clock::now();
}

} // namespace

struct membership_agent::implementation
    : std::enable_shared_from_this<membership_agent::implementation> {
    implementation(asio::io_context& context, udp::socket bound, member_record const& own,
                   swim_settings const& settings)
        : socket(std::move(bound))
        , timer(context)
        , protocol(own, settings, make_random_source(), current_time())
        , directory(std::make_shared<endpoint_directory const>(this->protocol.present())) {}

    void wait_for_datagrams() {
        this->socket.async_wait(
            udp::socket::wait_read,
            [self = this->shared_from_this()](boost::system::error_code const& failed) {
                if (failed || self->is_stopped) {
                    return;
                }
                self->receive_pending();
                self->flush();
                self->wait_for_datagrams();
            });
    }

    void wait_for_tick() {
        this->timer.expires_after(tick_period);
        this->timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code const& failed) {
                if (failed || self->is_stopped) {
                    return;
                }
                // Process acks pending in the socket before the timers that would expire without
                // them.
                self->receive_pending();
                self->protocol.tick(current_time());
                self->flush();
                self->publish();
                if (!self->is_stopped) {
                    self->wait_for_tick();
                }
            });
    }

    void receive_pending() {
        for (int count = 0; count < max_datagrams_per_wakeup && !this->is_stopped; ++count) {
            udp::endpoint from;
            boost::system::error_code failed;
            std::size_t const size =
                this->socket.receive_from(asio::buffer(this->buffer), from, 0, failed);
            if (failed) {
                return;
            }
            gossip_address const source{from.address().to_string(), from.port()};
            if (!this->unreachable.contains(source)) {
                this->protocol.receive(source, {this->buffer.data(), size}, current_time());
            }
        }
    }

    void flush() {
        for (auto const& datagram : this->protocol.take_outgoing()) {
            this->send(datagram);
        }
        for (auto& change : this->protocol.take_changes()) {
            this->unpublished.push_back(std::move(change));
        }
        for (auto const& request : this->protocol.take_exchange_requests()) {
            if (this->on_exchange) {
                this->on_exchange(request);
            }
        }
        if (this->protocol.is_superseded() &&
            !std::exchange(this->is_supersession_reported, true)) {
            log::write(log::level::error, "membership.superseded",
                       {{"instance", this->protocol.own().instance}});
            if (this->on_superseded) {
                this->on_superseded();
            }
        }
    }

    void send(outgoing_datagram const& datagram) {
        boost::system::error_code failed;
        auto const address = asio::ip::make_address(datagram.destination.ip, failed);
        if (failed || this->is_stopped || this->unreachable.contains(datagram.destination)) {
            return;
        }
        // A datagram that cannot be sent now counts as lost; the protocol tolerates loss.
        this->socket.send_to(asio::buffer(datagram.bytes),
                             udp::endpoint(address, datagram.destination.port), 0, failed);
    }

    void publish() {
        if (this->unpublished.empty() || this->is_stopped) {
            return;
        }
        this->directory.replace(
            std::make_shared<endpoint_directory const>(this->protocol.present()));
        auto const changes = std::exchange(this->unpublished, {});
        if (this->on_change) {
            this->on_change(changes);
        }
    }

    udp::socket socket;
    asio::steady_timer timer;
    swim_protocol protocol;
    rcu_cell<endpoint_directory> directory;
    std::vector<membership_change> unpublished;
    change_handler on_change;
    std::function<void()> on_superseded;
    std::function<void(exchange_request const&)> on_exchange;
    std::set<gossip_address> unreachable;
    std::array<char, receive_buffer_bytes> buffer{};
    bool is_supersession_reported = false;
    bool is_stopped = false;
};

namespace {

error unavailable(member_record const& own, boost::system::error_code const& failed) {
    return {result_code::address_unavailable, "cannot bind gossip to " + own.ip + " port " +
                                                  std::to_string(own.gossip_port) + ": " +
                                                  failed.message()};
}

} // namespace

result<std::unique_ptr<membership_agent>> membership_agent::create(asio::io_context& context,
                                                                   member_record own,
                                                                   swim_settings const& settings) {
    boost::system::error_code failed;
    auto const address = asio::ip::make_address(own.ip, failed);
    if (failed) {
        return unavailable(own, failed);
    }
    udp::endpoint const requested_endpoint(address, own.gossip_port);
    udp::socket socket(context);
    socket.open(requested_endpoint.protocol(), failed);
    if (!failed) {
        socket.bind(requested_endpoint, failed);
    }
    if (!failed) {
        socket.non_blocking(true, failed);
    }
    auto const bound = failed ? udp::endpoint() : socket.local_endpoint(failed);
    if (failed) {
        return unavailable(own, failed);
    }
    own.gossip_port = bound.port();
    return std::unique_ptr<membership_agent>(new membership_agent(
        std::make_shared<implementation>(context, std::move(socket), own, settings)));
}

membership_agent::membership_agent(std::shared_ptr<implementation> made)
    : hidden(std::move(made)) {}

membership_agent::~membership_agent() {
    this->stop();
}

void membership_agent::start() {
    this->hidden->wait_for_datagrams();
    this->hidden->wait_for_tick();
}

void membership_agent::stop() {
    this->hidden->is_stopped = true;
    boost::system::error_code ignored;
    this->hidden->socket.close(ignored);
    this->hidden->timer.cancel();
}

std::uint16_t membership_agent::port() const {
    return this->hidden->protocol.own().gossip_port;
}

rcu_cell<endpoint_directory> const& membership_agent::directory() const {
    return this->hidden->directory;
}

void membership_agent::set_change_handler(change_handler handler) {
    this->hidden->on_change = std::move(handler);
}

void membership_agent::set_superseded_handler(std::function<void()> handler) {
    this->hidden->on_superseded = std::move(handler);
}

void membership_agent::set_exchange_handler(std::function<void(exchange_request const&)> handler) {
    this->hidden->protocol.set_exchange_transport(handler ? exchange_transport::external
                                                          : exchange_transport::datagrams);
    this->hidden->on_exchange = std::move(handler);
}

void membership_agent::set_state(member_state state) {
    this->hidden->protocol.set_state(state, current_time());
    this->hidden->flush();
}

void membership_agent::set_target(std::string_view service, std::string_view target_version,
                                  std::uint32_t slots) {
    this->hidden->protocol.set_target(service, target_version, slots, current_time());
    this->hidden->flush();
}

void membership_agent::set_incarnation(std::uint64_t incarnation) {
    this->hidden->protocol.set_incarnation(incarnation, current_time());
    this->hidden->flush();
}

void membership_agent::set_peer_port(std::uint16_t port) {
    this->hidden->protocol.set_ports(port, this->port(), current_time());
    this->hidden->flush();
}

void membership_agent::add_seed(std::string const& ip, std::uint16_t port) {
    this->hidden->protocol.add_seed({ip, port});
}

void membership_agent::set_attachment_provider(std::uint32_t kind, attachment_provider provider) {
    this->hidden->protocol.set_attachment_provider(kind, std::move(provider));
}

status membership_agent::send_attachment(std::string_view instance, attachment const& item) {
    auto outcome = this->hidden->protocol.send_attachment(instance, item);
    this->hidden->flush();
    return outcome;
}

std::size_t membership_agent::push_attachment(attachment const& item, std::size_t count) {
    auto const sent = this->hidden->protocol.push_attachment(item, count);
    this->hidden->flush();
    return sent;
}

std::string membership_agent::page(bucket_set const& buckets, std::string_view after) const {
    return this->hidden->protocol.page(buckets, after, current_time());
}

result<std::string> membership_agent::merge_page(std::string_view bytes) {
    auto next = this->hidden->protocol.merge_page(bytes, current_time());
    this->hidden->flush();
    return next;
}

swim_protocol const& membership_agent::protocol() const {
    return this->hidden->protocol;
}

void membership_agent::set_unreachable(std::set<gossip_address> addresses) {
    this->hidden->unreachable = std::move(addresses);
}

} // namespace peridot
