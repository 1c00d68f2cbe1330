#pragma once

#include "core/error.h"
#include "http/http_response.h"
#include "mesh/gate_decision.h"

#include <variant>

namespace peridot {

/// The target ran the request. Holds the complete response, whether success or failure.
struct gate_ran {
    http_response answer;
};

/// The request reached the target, which states that it did not run it.
struct gate_target_refusal {
    http_response answer;
};

/// The request may have run.
struct gate_unknown {
    error reason;
};

/// The member could not be reached and received no part of the request.
struct gate_unreachable {
    error reason;
};

/// Outcome of a request at one member.
using gate_answer =
    std::variant<gate_ran, gate_target_refusal, gate_refusal, gate_unknown, gate_unreachable>;

} // namespace peridot
