#pragma once

#include "core/boot_clock.h"
#include "core/time.h"

#include <optional>

namespace peridot {

/// Spaces the starts of requests at a target that has limited its rate.
///
/// Requests that were not started in time may be made up for within a short burst. Not thread-safe.
/// The current time is passed as an argument.
class request_pacer {
public:
    /// Sets the number of requests per second; no value removes the limit.
    void set_rate(std::optional<double> requests_per_second, boot_time now);

    /// Returns the time at which the next request may start.
    boot_time earliest_start(boot_time now) const;

    /// Counts a request that starts at the given time.
    void start(boot_time at);

private:
    /// Time between two requests; zero without a limit.
    nanoseconds interval{0};
    /// How much earlier than due a request may start.
    nanoseconds burst_time{0};
    boot_time next_due;
};

} // namespace peridot
