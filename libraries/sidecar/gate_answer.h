#pragma once

#include "core/error.h"
#include "http/http_response.h"
#include "mesh/gate_decision.h"

#include <variant>

namespace peridot {

/// The target ran the request, and this is its whole answer, be it a success or a failure.
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

/// The member could not be reached; nothing of the request got there.
struct gate_unreachable {
    error reason;
};

/// What came of a request at one member.
using gate_answer =
    std::variant<gate_ran, gate_target_refusal, gate_refusal, gate_unknown, gate_unreachable>;

} // namespace peridot
