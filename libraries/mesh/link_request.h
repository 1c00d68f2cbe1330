#pragma once

#include "core/boot_clock.h"

#include <string>

namespace peridot {

/// Properties of a request whose response is to be delivered over the link of the instance.
struct link_request {
    std::string route;
    /// When the response is expected to be available.
    boot_time available;
    /// Time until which a response has its full value for the caller.
    boot_time soft_deadline;
    /// The request is refused if its response is not expected to be delivered by this time.
    boot_time limit;
};

} // namespace peridot
