#pragma once

#include "core/boot_clock.h"
#include "mesh/member.h"

#include <cstdint>

namespace peridot {

/// Until when the chosen member has to expect the answer to take the request.
enum class wait_limit : std::uint8_t {
    /// Only if the answer is in time to have its full value.
    target_latency,
    /// As long as somebody waits for the answer.
    deadline,
};

/// A member to try next.
struct target_choice {
    member const* chosen = nullptr;
    wait_limit limit = wait_limit::target_latency;
};

} // namespace peridot
