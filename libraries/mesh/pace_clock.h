#pragma once

#include "core/boot_clock.h"
#include "core/time.h"

#include <optional>

namespace peridot {

/// Converts between time and the work that a target does in it, at the pace that the target states.
///
/// Work is measured as time at the usual pace. A target whose instance is slowed down for a
/// fraction of a second, and that states so, does the same work in more time; without the
/// conversion its mean service time would follow only after the slowdown is over, and remain too
/// high afterwards.
///
/// Until a pace is set, time and work are equal. A target without responses states nothing, so a
/// pace that is not confirmed expires and the mean of the earlier ones takes its place. Otherwise a
/// target that gets no requests because it was slow would be taken for slow for ever. Not
/// thread-safe.
class pace_clock {
public:
    /// Sets the pace from now on; 1 is usual. Values outside of the plausible range are limited.
    void set(double pace, boot_time now);

    /// Returns to the usual pace.
    void reset(boot_time now);

    /// Returns the pace that applies now; no value if none was ever set.
    std::optional<double> pace(boot_time now) const;

    /// Work done from an arbitrary but fixed moment until now.
    nanoseconds work_at(boot_time now) const;

    /// Time that the work takes at the present pace.
    nanoseconds time_for(nanoseconds work, boot_time now) const;

    /// Work that is done in the time at the present pace.
    nanoseconds work_in(nanoseconds time, boot_time now) const;

private:
    std::optional<double> latest;
    double mean = 1;
    boot_time changed_at;
    nanoseconds work_before{0};
};

} // namespace peridot
