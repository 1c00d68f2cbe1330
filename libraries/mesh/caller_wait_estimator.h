#pragma once

#include "core/boot_clock.h"
#include "core/time.h"

#include <string>
#include <unordered_map>

namespace peridot {

/// Tells how long a caller has been waiting when an attempt of it arrives.
///
/// Answers the load pattern of callers that return after a refusal: their new attempts would be
/// served as if they were fresh and push fresh requests past their target latency, although they
/// are late already. Callers of a route usually allow the same time in all, and what an attempt
/// has left is less by what the earlier attempts took.
class caller_wait_estimator {
public:
    /// Takes the time in that an attempt on the route has left, and gives the time that its caller
    /// has waited before.
    milliseconds observe(std::string const& route, milliseconds time_left, boot_time now);

private:
    // The longest times of the current and of the previous window, so that a change of the callers
    // is noticed.
    struct longest_times {
        milliseconds current{0};
        milliseconds previous{0};
        boot_time window_start;
    };

    std::unordered_map<std::string, longest_times> routes;
};

} // namespace peridot
