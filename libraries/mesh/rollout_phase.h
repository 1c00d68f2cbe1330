#pragma once

#include <cstdint>

namespace peridot {

/// Phase of a rollout.
enum class rollout_phase : std::uint8_t { running, complete, rolled_back };

} // namespace peridot
