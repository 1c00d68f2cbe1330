#pragma once

#include "core/socket_address.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace peridot::soak {

/// How a proxy treats the connections that pass it.
enum class link_state : std::uint8_t {
    normal,
    /// Each piece arrives late.
    delayed,
    /// Open connections are reset, new ones too.
    reset,
    /// What the caller sends is lost; the connection stays open and silent for good.
    requests_dropped,
    /// What the callee answers is lost; the connection stays open and silent for good.
    answers_dropped,
};

/// A TCP proxy on loopback addresses that harms the connections through it.
class fault_proxy {
public:
    /// Listens at once; the context must outlive the proxy.
    fault_proxy(boost::asio::io_context& context, socket_address const& listen,
                socket_address const& upstream);
    ~fault_proxy();
    fault_proxy(fault_proxy const&) = delete;
    fault_proxy& operator=(fault_proxy const&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    socket_address address() const;
    /// Safe from any thread.
    void set(link_state state);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot::soak
