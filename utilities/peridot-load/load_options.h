#pragma once

#include "core/socket_address.h"
#include "core/time.h"
#include "load/arrival_process.h"

#include <string>
#include <vector>

namespace peridot {

/// Parameters of a load test: its requests, their destinations and their rate.
struct load_options {
    /// Addresses of the nodes, used in round-robin order.
    std::vector<socket_address> nodes;
    /// Bearer credential "<workspace>.<secret>"; empty to send none.
    std::string credential;
    std::string method = "GET";
    std::string path = "/";
    std::string body;
    arrival_process arrivals;
    seconds duration{10};
    milliseconds timeout{10'000};
    std::size_t connections_per_node = 1024;
};

} // namespace peridot
