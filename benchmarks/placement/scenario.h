#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace peridot::placement {

/// How nodes choose the target of a request.
enum class strategy : std::uint8_t {
    /// target_selector where targets state no pace: least expected time.
    least_time,
    /// target_selector where targets state their pace.
    even_load,
    /// The better of two random targets by the last report and the node's own requests.
    two_choices,
    /// Prequal: reports are collected in a small pool, each is used a few times, and the fastest of
    /// those with few requests is chosen.
    reused_reports,
    /// Join-idle-queue: a target that reported a free slot is chosen once; otherwise a random one.
    idle_queue,
    /// target_selector among eight targets of each node.
    subset,
    /// The target with the fewest of the node's own requests.
    own_share,
    /// A single queue for all targets that knows their state exactly; the lower bound.
    common_queue,
};

/// Settings of one run of the model.
struct scenario {
    std::size_t nodes = 89;
    std::size_t targets = 67;
    std::size_t zones = 3;
    unsigned slots = 6;
    /// Offered load as a fraction of the capacity of all targets.
    double load = 0.8;
    strategy placement = strategy::least_time;
    /// Speeds of the targets, in turn.
    std::vector<double> speeds{0.7, 0.7, 1.7};
    /// Fraction of the targets that are slowed down at any time.
    double slow_part = 0.15;
    /// Factor on the time of a target that is slowed down, and for how long it is.
    double slow_factor = 2.5;
    milliseconds slow_duration{600};
    milliseconds length{10'000};
    std::uint64_t seed = 1;
};

/// Result of a run, for requests that arrived after the warm-up.
struct run_result {
    double requests = 0;
    /// Standard deviation over the targets of the used part of their slots; mean over the time.
    double spread = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    /// Refusals for each thousand requests while a target of the service, or of the same zone, had
    /// a free slot.
    double needless_refusals = 0;
    double needless_refusals_in_zone = 0;
    /// Messages to targets for each request.
    double offers = 0;
    /// Part of the requests that were sent to another zone.
    double remote_part = 0;
    /// Part of the requests that were not answered within their target latency, and by their
    /// deadline.
    double late_part = 0;
    double failed_part = 0;
    /// Age of the report of a target when it is chosen.
    double report_age_p10_ms = 0;
    double report_age_p50_ms = 0;
    double report_age_p90_ms = 0;
};

/// Runs the model; the same settings give the same result.
run_result run(scenario const& settings);

} // namespace peridot::placement
