#pragma once

#include "core/time.h"

#include <cstddef>

namespace peridot {

/// Limits on the size of a caller's request and on how long its connection may take or stay idle.
struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{64} * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};

    bool operator==(caller_limits const&) const = default;
};

} // namespace peridot
