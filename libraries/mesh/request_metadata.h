#pragma once

#include "core/time.h"

#include <optional>
#include <string>

namespace peridot {

/// What a caller says of its request beside the request itself.
struct request_metadata {
    /// Id of this attempt of the caller; a repeated attempt has another one.
    std::string attempt_id;
    /// How long the caller waits for the answer.
    std::optional<milliseconds> time_left;
};

} // namespace peridot
