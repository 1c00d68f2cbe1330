#include "mesh/caller_wait_estimator.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr seconds window{10};
// Callers of a route use slightly different timeouts. Only a remaining time below this fraction of
// the longest one is attributed to earlier attempts.
constexpr double common_fraction = 0.8;

} // namespace

milliseconds caller_wait_estimator::observe(std::string const& route, milliseconds time_left,
                                            boot_time now) {
    auto& times = this->routes[route];
    if (now - times.window_start > window) {
        bool const is_recent = now - times.window_start <= 2 * window;
        times.previous = is_recent ? times.current : milliseconds(0);
        times.current = milliseconds(0);
        times.window_start = now;
    }
    times.current = std::max(times.current, time_left);
    auto const longest = std::max(times.current, times.previous);
    auto const common_time = std::chrono::duration_cast<milliseconds>(longest * common_fraction);
    return std::max(milliseconds(0), common_time - time_left);
}

} // namespace peridot
