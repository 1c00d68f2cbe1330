#pragma once

#include "core/boot_clock.h"
#include "mesh/member.h"

#include <cstdint>

namespace peridot {

/// The latest expected response time with which the chosen member may accept the request.
enum class wait_limit : std::uint8_t {
    /// The response must be expected within the target latency of the route.
    target_latency,
    /// The response must be expected by the deadline of the request.
    deadline,
};

/// The member for the next attempt.
struct target_choice {
    member const* chosen = nullptr;
    wait_limit limit = wait_limit::target_latency;
};

} // namespace peridot
