#pragma once

#include "http/http_response.h"
#include "routing/attempt_observation.h"
#include "routing/retry_decision.h"

#include <optional>

namespace peridot {

/// How one attempt ended: the answer for the caller, or a failure that a retry may mend.
struct attempt_result {
    http_response answer;
    /// Set when the attempt brought no answer of the target.
    std::optional<failed_attempt> failed;
    attempt_observation seen;
};

} // namespace peridot
