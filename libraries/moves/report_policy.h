#pragma once

#include "core/time.h"
#include "moves/route_evidence.h"

#include <cstddef>
#include <memory>

namespace peridot {

/// Decides when a node sends its evidence to the judges: when the counts have grown by a factor, so
/// that the number of bytes grows logarithmically with the traffic, or when the results of unsent
/// calls are worse than the old version's.
class report_policy {
public:
    /// Minimum time between reports of one node.
    static constexpr milliseconds minimum_interval{200};
    /// A report is repeated once after this time if no other report was due. The counts of a lost
    /// report would otherwise be missing until the counts have grown again.
    static constexpr milliseconds repeat_interval{600};
    /// Factors of growth in the new and the old version's calls after which a report is due.
    static constexpr double new_growth_factor = 1.2;
    static constexpr double old_growth_factor = 1.5;
    /// A burst consists of at least this many unsent failures or slow calls, and of this many times
    /// the number expected from the old version's rate.
    static constexpr std::uint64_t burst_failures = 2;
    static constexpr std::uint64_t burst_slow_calls = 3;
    static constexpr double burst_factor = 2;
    /// Until a node has made this many calls to the new version, a single failure or slow call is a
    /// burst. At small shares, a decision is based on a few calls of each node, and waiting for
    /// growth would delay a large part of them.
    static constexpr std::uint64_t immediate_report_calls = 500;
    /// Calls to a version below this rate, in calls per second on one node, are reported
    /// individually within the byte budget: a judge that receives a failure without the successful
    /// calls of the same time has incomplete evidence.
    static constexpr double sparse_rate = 1;
    /// Token bucket for the bytes of these reports to each judge: the refill rate, an eighth of a
    /// node's 5 KB/s for control traffic, and the maximum of saved or overdrawn bytes. Other
    /// reports are charged to the bucket too.
    static constexpr double sparse_bytes_per_second = 600;
    static constexpr double maximum_saved_bytes = 2400;

    report_policy();
    ~report_policy();
    report_policy(report_policy&&) noexcept;
    report_policy& operator=(report_policy&&) noexcept;
    report_policy(report_policy const&) = delete;
    report_policy& operator=(report_policy const&) = delete;

    /// Whether a report of the counts is due.
    bool is_due(steady_time now, evidence_by_route const& counts) const;

    /// Makes a report due because the share changed. Counts from before and after the change must
    /// be in separate reports: if a fault of both versions starts at the same time, their sum would
    /// attribute it to the version whose share increased.
    void set_share_changed();

    /// Records that the counts were sent in this many bytes.
    void record_sent(steady_time now, evidence_by_route const& counts, std::size_t bytes);

    /// Resets the record of sent counts, because a replaced judge starts without evidence.
    void reset();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace peridot
