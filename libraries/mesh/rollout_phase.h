#pragma once

#include <cstdint>

namespace peridot {

/// Where a roll-out stands.
enum class rollout_phase : std::uint8_t { running, complete, rolled_back };

} // namespace peridot
