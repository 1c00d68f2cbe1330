#pragma once

#include <cstdint>

namespace peridot {

/// Admission priority of a route's requests when the target has no free slots.
enum class request_class : std::uint8_t { interactive, background };

} // namespace peridot
