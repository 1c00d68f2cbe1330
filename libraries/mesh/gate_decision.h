#pragma once

#include "core/result_code.h"
#include "core/time.h"
#include "mesh/target_record.h"

#include <optional>
#include <variant>

namespace peridot {

/// The request got a slot and is sent to the target now.
struct gate_start {};

/// The request is queued until a slot becomes free.
struct gate_wait {};

/// The request was not executed and will not be executed by this node.
struct gate_refusal {
    result_code reason = result_code::request_overloaded;
    /// Delay after which a retry is likely to be served in time.
    milliseconds retry_after{0};
    /// Time for which the request would have waited for a slot; zero unless it is refused for load.
    milliseconds expected_wait{0};
    /// The current target of the node, if the request was addressed to a different one.
    std::optional<target_record> actual_target;
};

/// Decision of the gate on a new request.
using gate_decision = std::variant<gate_start, gate_wait, gate_refusal>;

} // namespace peridot
