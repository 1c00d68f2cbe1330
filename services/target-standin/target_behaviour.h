#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace peridot {

/// Behaviour of the stand-in, including its faults; configured at run time with PUT
/// /admin/behaviour.
struct target_behaviour {
    milliseconds service_time{10};
    /// Fraction of requests that are executed but answered with 500.
    double failure_ratio = 0;
    /// Multiplier of the service time.
    double slowdown = 1;
    /// Failures and slowdown apply only if at least this many requests are in flight.
    std::uint32_t only_above = 0;
    /// Failures and slowdown apply only to paths with this prefix; empty matches all paths.
    std::string only_route;
    /// Failures and slowdown apply only after this time since the start of the process.
    milliseconds only_after{0};
    /// Number of upcoming requests that are executed and whose connections are then closed without
    /// a response.
    std::uint32_t lost_answers = 0;
    /// Rejects all requests with 503 and Retry-After, without executing them.
    bool is_shedding = false;
    /// Announces the state draining.
    bool is_draining = false;
    /// Value that the load endpoint reports instead of the requests in flight; negative for none.
    std::int32_t reported_load = -1;
};

} // namespace peridot
