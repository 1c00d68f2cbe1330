#pragma once

#include "core/socket_address.h"
#include "processes/support/child_process.h"

#include <cstdint>
#include <memory>
#include <string>

namespace peridot::processes {

/// A node of a test fleet, with the addresses that it printed at its start.
struct node_process {
    std::string instance;
    std::string availability_zone;
    socket_address calls;
    socket_address peers;
    socket_address admin;
    std::uint16_t gossip = 0;
    std::unique_ptr<child_process> process;
};

} // namespace peridot::processes
