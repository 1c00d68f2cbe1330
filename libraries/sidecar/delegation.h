#pragma once

#include <cstdint>

namespace peridot {

/// Whether a node may have another node write its rows.
enum class delegation : std::uint8_t { allowed, none };

} // namespace peridot
