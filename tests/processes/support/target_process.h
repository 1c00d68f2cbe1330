#pragma once

#include "core/socket_address.h"
#include "processes/support/child_process.h"

#include <memory>

namespace peridot::processes {

/// A target stand-in of a test fleet.
struct target_process {
    socket_address address;
    std::unique_ptr<child_process> process;
};

} // namespace peridot::processes
