#pragma once

#include "moves/move_plan.h"
#include "proxy/move_progress.h"
#include "proxy/route_counters.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace peridot {

/// A service with a running move, as the request path sees it. Immutable but for the progress and
/// the counters, which later tables share.
struct moved_service {
    move_plan plan;
    std::shared_ptr<move_progress> progress;
    /// Counters by the path prefix of the contracts' routes.
    std::map<std::string, std::shared_ptr<route_counters>, std::less<>> routes;
};

} // namespace peridot
