#include "mesh/caller_deadlines.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr seconds window{10};
// Callers of a route differ in the time that they allow; only what lies below this part of the
// longest time tells of earlier attempts.
constexpr double common_part = 0.8;

} // namespace

milliseconds caller_deadlines::observe(std::string const& route, milliseconds time_left,
                                       boot_time now) {
    auto& known = this->routes[route];
    if (now - known.window_start > window) {
        bool const is_recent = now - known.window_start <= 2 * window;
        known.previous = is_recent ? known.current : milliseconds(0);
        known.current = milliseconds(0);
        known.window_start = now;
    }
    known.current = std::max(known.current, time_left);
    auto const longest = std::max(known.current, known.previous);
    auto const common = std::chrono::duration_cast<milliseconds>(longest * common_part);
    return std::max(milliseconds(0), common - time_left);
}

} // namespace peridot
