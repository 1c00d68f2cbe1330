#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridot {

/// Requests of one route that arrive at a constant rate in a simulation, and what became of them.
struct arrival_stream {
    std::string route;
    unsigned priority = 2;
    milliseconds gap{1};
    /// Time that the target takes for a request.
    milliseconds work{200};
    /// Standard deviation of the logarithm of the work; with one above 0, 1 in 100 requests takes
    /// five times as long.
    double work_spread = 0;
    milliseconds target_latency{600};
    milliseconds deadline{1500};
    std::string workspace = {};
    std::optional<unsigned> workspace_priority = {};
    /// Time after which a caller that was refused comes back, until its deadline; 0 if it does not.
    milliseconds retry_pause{0};
    /// Time after which a caller leaves; 0 if it waits until its deadline.
    milliseconds leaves_after{0};
    /// Number of callers. Their repeated requests count as one.
    std::int64_t offered = 0;
    std::int64_t started = 0;
    std::int64_t answered = 0;
    /// Number of responses within the target latency.
    std::int64_t in_time = 0;
};

} // namespace peridot
