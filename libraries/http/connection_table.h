#pragma once

#include "core/socket_address.h"
#include "core/time.h"
#include "http/connection_reuse.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace peridot::detail {

struct client_connection;

/// The open connections of a client by server address: how many there are, and those that are idle.
class connection_table {
public:
    using connection_pointer = std::unique_ptr<client_connection>;

    connection_table(boost::asio::io_context& context, std::size_t connections_per_address);
    ~connection_table();
    connection_table(connection_table const&) = delete;
    connection_table& operator=(connection_table const&) = delete;
    connection_table(connection_table&&) = delete;
    connection_table& operator=(connection_table&&) = delete;

    /// Returns an idle connection that can be used, or null if there is none.
    connection_pointer take_idle(socket_address const& address, connection_reuse reuse);

    /// Returns a connection that is still to be connected, or null if the limit of the address is
    /// reached and none of its connections is idle.
    connection_pointer create(socket_address const& address);

    /// Takes back a connection whose exchange is complete.
    void put_idle(socket_address const& address, connection_pointer released);

    void close(socket_address const& address, connection_pointer released);

    /// Closes connections that exceed their idle limit.
    void sweep();

    /// Returns the number of open connections to an address, including idle ones.
    std::size_t count(socket_address const& address) const;

private:
    struct address_state {
        std::size_t open = 0;
        std::vector<connection_pointer> idle;
    };

    boost::asio::io_context& context;
    std::size_t connections_per_address;
    std::map<socket_address, address_state> addresses;
    steady_time last_sweep;
};

} // namespace peridot::detail
