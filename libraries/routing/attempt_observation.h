#pragma once

#include <cstdint>
#include <optional>

namespace peridot {

/// Classification of an attempt for outlier ejection of its endpoint.
enum class endpoint_verdict : std::uint8_t {
    success,
    /// Connection failure, timeout, truncated answer or server error of the target.
    failure,
    /// Refused because of overload or draining, or cancelled by the caller; does not indicate a
    /// fault of the endpoint.
    neutral,
};

/// Result of one attempt as it affects the state of its endpoint.
struct attempt_observation {
    endpoint_verdict verdict = endpoint_verdict::success;
    /// Value of the answer's Peridot-Pressure header, if present.
    std::optional<unsigned> pressure;
};

} // namespace peridot
