#pragma once

#include <cstdint>

namespace peridot {

/// What a target has announced of itself.
enum class target_state : std::uint8_t { ready, draining, gone };

} // namespace peridot
