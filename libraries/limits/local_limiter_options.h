#pragma once

#include "core/time.h"

namespace peridot {

/// Settings of a local limiter.
struct local_limiter_options {
    /// After its lease, an entry node uses half of its last share for this time, unless an equal
    /// part of the limit is more. It covers the time in which the fleet notices a lost divider.
    milliseconds grace{6000};
    /// Change of demand that is reported at once.
    double report_factor = 1.25;
    /// Changes of demand below this many requests a second are not reported by themselves.
    double least_change = 2.0;
    milliseconds least_report_interval{100};
    /// Demand is reported when less than this is left of the lease, about twice a lease.
    milliseconds renew_before{1500};
    milliseconds repeat_report_after{500};
    /// Time constant of the measured demand.
    milliseconds demand_window{500};
    /// The same for demand of a few requests a second.
    milliseconds longest_demand_window{30000};
    /// A share below this part of the last reported one is confirmed at once, so that the rest can
    /// go to others.
    double smaller_share = 0.9;
};

} // namespace peridot
