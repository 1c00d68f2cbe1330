#pragma once

#include <cstdint>

namespace peridot {

/// Which of a move's two target versions a request is sent to.
enum class target_side : std::uint8_t { old_version, new_version };

} // namespace peridot
