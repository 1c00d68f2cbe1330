#pragma once

#include <cstdint>

namespace peridot {

/// The phase of a move, for operators.
enum class move_phase : std::uint8_t { waiting, ramping, watching, done, late, taken_back };

} // namespace peridot
