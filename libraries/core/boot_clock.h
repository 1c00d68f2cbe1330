#pragma once

#include "core/time.h"

namespace peridot {

/// A steady clock that also counts the time while the instance was suspended. Deadlines of requests
/// use it, so that work whose caller gave up during a suspension is not passed on afterwards.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using boot_time = boot_clock::time_point;

/// The moment on the clock of the timers that is as far from now as the given one.
steady_time to_steady_time(boot_time time);

} // namespace peridot
