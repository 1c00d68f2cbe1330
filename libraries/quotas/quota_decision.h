#pragma once

#include "core/boot_clock.h"
#include "core/time.h"
#include "quotas/quota_terms.h"

#include <optional>
#include <variant>

namespace peridot {

/// A token that a request has taken.
struct quota_token {
    quota_key workspace = 0;
    boot_time expires;
};

/// The request is within the quota; there is no token if its workspace has none.
struct quota_admission {
    std::optional<quota_token> token;
};

/// The workspace has used up its quota.
struct quota_exceeded {
    milliseconds retry_after{0};
};

/// No node that lends tokens answered in time.
struct quota_unavailable {};

using quota_decision = std::variant<quota_admission, quota_exceeded, quota_unavailable>;

} // namespace peridot
