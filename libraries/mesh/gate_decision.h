#pragma once

#include "core/result_code.h"
#include "core/time.h"
#include "mesh/target_record.h"

#include <optional>
#include <variant>

namespace peridot {

/// The request has a slot and goes to the target now.
struct gate_start {};

/// The request waits for a slot.
struct gate_wait {};

/// The request has not run and will not run here.
struct gate_refusal {
    result_code reason = result_code::request_overloaded;
    /// When a slot in time is likely.
    milliseconds retry_after{0};
    /// The target that is there, when the request was meant for another one.
    std::optional<target_record> actual_target;
};

/// What the gate says to a new request.
using gate_decision = std::variant<gate_start, gate_wait, gate_refusal>;

} // namespace peridot
