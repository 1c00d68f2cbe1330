#pragma once

#include "core/boot_clock.h"
#include "core/time.h"
#include "mesh/gate_load.h"

namespace peridot {

/// Estimate of what one member's target is at work on now, from its last report.
///
/// A node hears of a target only with its own responses, here every 50 to 800 ms, while the
/// target's work changes within one service time. Taken as present, an old report makes all nodes
/// that hold one of an idle target choose it at the same moment, and avoid one long after it has
/// become idle. The estimate moves from the reported number of requests to the usual one of the
/// targets as the requests of the report are answered, and from the reported pace to the target's
/// mean pace. The node's own requests are known exactly and are counted apart.
///
/// Not thread-safe.
class load_estimate {
public:
    /// Replaces the report. `own` is the number of this node's requests in flight.
    void observe(gate_load const& load, unsigned own, boot_time now);

    /// Whether the target's last report states a pace.
    bool has_pace() const;

    /// Expected pace now; 1 if the target states none.
    double pace(boot_time now) const;

    /// Reported running and waiting requests for each slot.
    double reported_utilization() const;

    /// Cost of one more request, as time: the expected wait, and what a slowdown or a refusal for
    /// want of a free slot would cost. `own` is the number of this node's requests in flight and
    /// `usual_utilization` that of the service's other targets.
    nanoseconds cost(unsigned own, double usual_utilization, boot_time now) const;

private:
    gate_load report;
    /// Requests of other nodes at the time of the report.
    double others = 0;
    double mean_pace = 1;
    /// Mean time that a request holds a slot at a pace of 1.
    nanoseconds mean_work{0};
    boot_time reported_at;
};

} // namespace peridot
