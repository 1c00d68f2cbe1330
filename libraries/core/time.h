#pragma once

#include <chrono>

namespace peridot {

/// Monotonic time for intervals and timeouts.
using steady_time = std::chrono::steady_clock::time_point;

/// Calendar time, for example the time by which a move must be completed.
using wall_time = std::chrono::system_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

} // namespace peridot
