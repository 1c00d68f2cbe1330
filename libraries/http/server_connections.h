#pragma once

#include <atomic>
#include <cstddef>
#include <unordered_set>

namespace peridot::detail {

class server_connection;

/// The open connections of a server, and the number of their requests.
struct server_connections {
    std::unordered_set<server_connection*> open;
    /// Written by the server's thread only; read by any thread.
    std::atomic<std::size_t> requests_in_flight{0};
};

} // namespace peridot::detail
