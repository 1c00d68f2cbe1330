#pragma once

#include "core/error.h"
#include "core/time.h"

#include <string>
#include <variant>

namespace peridot {

/// A peer serves too many syncs and names the time to wait.
struct peer_busy {
    milliseconds delay{0};
};

/// What a request to a peer brought: the body, a delay, or a failure.
using peer_answer = std::variant<std::string, peer_busy, error>;

} // namespace peridot
