#include "http/connection_table.h"

#include "http/client_connection.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peridot::detail {

namespace {

// For requests that must not be sent twice. Long enough for two nodes with steady traffic to reuse
// their connections.
constexpr milliseconds recent_idle_limit{1000};
constexpr std::size_t idle_connections_per_address = 32;
constexpr seconds sweep_period{5};

} // namespace

connection_table::connection_table(boost::asio::io_context& context,
                                   std::size_t connections_per_address)
    : context(context), connections_per_address(connections_per_address) {}

connection_table::~connection_table() = default;

connection_table::connection_pointer connection_table::take_idle(socket_address const& address,
                                                                 connection_reuse reuse) {
    auto const found = this->addresses.find(address);
    if (found == this->addresses.end()) {
        return nullptr;
    }
    auto const now = std::chrono::steady_clock::now();
    auto& idle = found->second.idle;
    while (!idle.empty()) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        auto const idle_time = now - candidate->last_used;
        if (idle_time < candidate->idle_limit && candidate->is_alive()) {
            if (reuse == connection_reuse::any || idle_time < recent_idle_limit) {
                return candidate;
            }
            idle.push_back(std::move(candidate));
            return nullptr;
        }
        this->close(address, std::move(candidate));
    }
    return nullptr;
}

connection_table::connection_pointer connection_table::create(socket_address const& address) {
    auto& state = this->addresses[address];
    if (state.open >= this->connections_per_address && !state.idle.empty()) {
        this->close(address, std::move(state.idle.front()));
        state.idle.erase(state.idle.begin());
    }
    if (state.open >= this->connections_per_address) {
        return nullptr;
    }
    ++state.open;
    return std::make_unique<client_connection>(this->context);
}

void connection_table::put_idle(socket_address const& address, connection_pointer released) {
    auto& state = this->addresses[address];
    if (state.idle.size() >= idle_connections_per_address) {
        this->close(address, std::move(released));
        return;
    }
    released->last_used = std::chrono::steady_clock::now();
    released->stream.expires_never();
    state.idle.push_back(std::move(released));
}

void connection_table::close(socket_address const& address, connection_pointer released) {
    released.reset();
    --this->addresses[address].open;
}

void connection_table::sweep() {
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

std::size_t connection_table::count(socket_address const& address) const {
    auto const found = this->addresses.find(address);
    return found == this->addresses.end() ? 0 : found->second.open;
}

} // namespace peridot::detail
