#pragma once

#include "core/boot_clock.h"
#include "core/time.h"

#include <string>
#include <unordered_map>

namespace peridot {

/// Estimates how long a caller has already been waiting when one of its attempts arrives.
///
/// Callers that were refused come back with a new attempt. Served as if they were fresh, these
/// attempts would push fresh requests past their target latency although they are late already.
/// Callers of a route usually use the same total timeout, so the remaining time of an attempt is
/// shorter by the time that earlier attempts took.
class caller_wait_estimator {
public:
    /// Records the remaining time of an attempt on the route and returns the time for which its
    /// caller has already waited.
    milliseconds observe(std::string const& route, milliseconds time_left, boot_time now);

private:
    // Longest remaining times of the current and the previous window. The window lets the estimate
    // follow callers that change their timeout.
    struct longest_times {
        milliseconds current{0};
        milliseconds previous{0};
        boot_time window_start;
    };

    std::unordered_map<std::string, longest_times> routes;
};

} // namespace peridot
