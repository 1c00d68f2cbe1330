#pragma once

#include "core/boot_clock.h"
#include "core/time.h"

#include <optional>

namespace peridot {

/// Decides at which rate a target that may be cold accepts requests.
///
/// Answers the load that meets targets which come back together, for example all of an availability
/// zone: they are slow at first, and the full load makes them fail again. A target states how much
/// longer it is cold, but only with its periodic announcements. After an event that may have
/// restarted it, it is therefore presumed cold until its next announcement.
///
/// Not thread-safe. The current time is passed as an argument.
class warm_up {
public:
    /// Sets the rate that a cold target accepts; no value if cold targets are not limited.
    void set_cold_rate(std::optional<double> requests_per_second);

    /// Records the remaining time for which the target is cold, as it states it.
    void observe(milliseconds remaining, boot_time now);

    /// The target may have been restarted.
    void presume_cold();

    /// Returns the number of requests per second that the target accepts now; no value for no
    /// limit.
    std::optional<double> rate_limit(boot_time now) const;

private:
    std::optional<double> cold_rate;
    boot_time cold_until;
    bool is_presumed_cold = false;
};

} // namespace peridot
