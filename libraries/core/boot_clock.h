#pragma once

#include "core/time.h"

namespace peridot {

/// A monotonic clock that includes the time during which the instance is suspended. Request
/// deadlines use it, so that a request whose deadline expired during a suspension is not forwarded
/// afterwards.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using boot_time = boot_clock::time_point;

/// Converts to the clock used by timers; the offset from the current time is preserved.
steady_time to_steady_time(boot_time time);

} // namespace peridot
