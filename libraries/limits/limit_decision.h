#pragma once

#include "core/time.h"

#include <cstdint>
#include <variant>

namespace peridot {

/// Which part of a limit refused.
enum class limit_kind : std::uint8_t { rate, concurrency };

/// The request may go on; its holder calls release() once when it has ended.
struct limit_permit {};

/// The request is over the limit (request_limit_exceeded, not_run).
struct limit_refusal {
    limit_kind kind = limit_kind::rate;
    /// For Retry-After.
    nanoseconds retry_after{0};
};

using limit_decision = std::variant<limit_permit, limit_refusal>;

} // namespace peridot
