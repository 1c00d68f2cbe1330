#pragma once

#include "core/time.h"

namespace peridot {

/// Answer of a pool to a node that wants tokens of a workspace.
struct quota_grant {
    unsigned tokens = 0;
    /// If there are no tokens: the time after which to ask again.
    milliseconds retry_after{0};
};

} // namespace peridot
