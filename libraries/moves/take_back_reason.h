#pragma once

#include <cstdint>

namespace peridot {

/// Why a new version was taken back. The values are part of the wire format and are never reused.
enum class take_back_reason : std::uint8_t {
    /// It failed more often than the old version during the same period.
    failures = 1,
    /// It was slower than the old version during the same period.
    slow = 2,
    /// It failed more often than the old version had earlier; the old version had too few requests
    /// for a concurrent comparison.
    failures_against_baseline = 3,
    /// It was slower than the old version had been earlier; the old version had too few requests
    /// for a concurrent comparison.
    slow_against_baseline = 4,
    /// An operator requested it.
    operator_request = 5,
};

} // namespace peridot
