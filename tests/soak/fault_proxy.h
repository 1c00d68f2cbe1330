#pragma once

#include "core/socket_address.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace peridot::soak {

/// The fault that a proxy applies to its connections.
enum class link_state : std::uint8_t {
    normal,
    /// Every block of bytes is forwarded after a delay.
    delayed,
    /// Open and new connections are reset.
    reset,
    /// Bytes from the caller are dropped. An affected connection stays open and never carries bytes
    /// in this direction again.
    requests_dropped,
    /// Bytes from the callee are dropped. An affected connection stays open and never carries bytes
    /// in this direction again.
    answers_dropped,
};

/// A TCP proxy on loopback addresses that injects faults into its connections.
class fault_proxy {
public:
    /// Starts to listen immediately. The context must outlive the proxy.
    fault_proxy(boost::asio::io_context& context, socket_address const& listen,
                socket_address const& upstream);
    ~fault_proxy();
    fault_proxy(fault_proxy const&) = delete;
    fault_proxy& operator=(fault_proxy const&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    socket_address address() const;
    /// Applies the state to open and new connections. Safe to call from any thread.
    void set(link_state state);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot::soak
