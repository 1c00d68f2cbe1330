#pragma once

#include "limits/limit_quota.h"

#include <memory>
#include <unordered_map>

namespace peridot {

class local_limiter;

/// The limiters of every (workspace, service) of the held version. Immutable; the limiters in it
/// are shared by the workers and by later tables.
struct limit_table {
    std::unordered_map<limit_key, std::shared_ptr<local_limiter>> limiters;
};

} // namespace peridot
