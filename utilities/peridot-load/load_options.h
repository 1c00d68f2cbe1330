#pragma once

#include "core/socket_address.h"
#include "core/time.h"
#include "load/arrival_process.h"

#include <string>
#include <vector>

namespace peridot {

/// What a load sends, where to and how often.
struct load_options {
    /// Addresses in turn.
    std::vector<socket_address> nodes;
    /// "<workspace>.<secret>", or empty for none.
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
