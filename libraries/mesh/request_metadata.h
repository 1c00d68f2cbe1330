#pragma once

#include "core/time.h"

#include <optional>
#include <string>

namespace peridot {

/// Metadata that a caller sends along with its request.
struct request_metadata {
    /// Id of this attempt; a retry by the caller has a different id.
    std::string attempt_id;
    /// Remaining time for which the caller waits for a response.
    std::optional<milliseconds> time_left;
};

} // namespace peridot
