#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace peridot {

/// Requests of one route that arrive at a constant rate in a simulation, and what became of them.
struct arrival_stream {
    std::string route;
    unsigned priority = 2;
    milliseconds gap{1};
    /// Time that the target takes for a request.
    milliseconds work{200};
    milliseconds target_latency{600};
    milliseconds deadline{1500};
    std::int64_t offered = 0;
    std::int64_t started = 0;
    std::int64_t answered = 0;
    /// Number of responses within the target latency.
    std::int64_t in_time = 0;
};

} // namespace peridot
