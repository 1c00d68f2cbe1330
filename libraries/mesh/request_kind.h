#pragma once

#include <cstdint>

namespace peridot {

/// Whether a request may be executed more than once.
enum class request_kind : std::uint8_t { idempotent, non_idempotent };

} // namespace peridot
