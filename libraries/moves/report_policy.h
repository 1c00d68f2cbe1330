#pragma once

#include "core/time.h"
#include "moves/route_evidence.h"

#include <cstddef>
#include <memory>

namespace peridot {

/// Decides when a node sends its evidence to the judges: when counts grew by a factor, so that the
/// bytes grow with the logarithm of the traffic, or when calls that were not sent yet look worse
/// than the old version's.
class report_policy {
public:
    /// Reports of one node are at least this far apart.
    static constexpr milliseconds minimum_interval{200};
    /// A report is sent once more after this time when nothing else was due, since one that is
    /// lost would otherwise be missing until the next growth.
    static constexpr milliseconds repeat_interval{600};
    /// Growth of the new version's calls, and of the old version's, after which a report is due.
    static constexpr double new_growth_factor = 1.2;
    static constexpr double old_growth_factor = 1.5;
    /// A burst: at least this many failures or slow calls that were not sent yet, and this many
    /// times what the old version lets expect.
    static constexpr std::uint64_t burst_failures = 2;
    static constexpr std::uint64_t burst_slow_calls = 3;
    static constexpr double burst_factor = 2;
    /// While a node has had fewer calls of the new version than this, one failure or slow call is
    /// a burst. A fleet of small shares decides on a few calls of each node, and waiting for
    /// growth would hold back a good part of them.
    static constexpr std::uint64_t immediate_report_calls = 500;
    /// Calls of a version that come more slowly than this, in calls a second on one node, are
    /// reported one by one while the byte budget lasts: a judge that hears of a failure without
    /// the calls beside it has less evidence than there is.
    static constexpr double sparse_rate = 1;
    /// The byte budget of these reports for each judge, an eighth of a node's 5 KB/s for control
    /// traffic, and the most that is saved up or overdrawn. Other reports are charged to it too.
    static constexpr double sparse_bytes_per_second = 600;
    static constexpr double maximum_saved_bytes = 2400;

    report_policy();
    ~report_policy();
    report_policy(report_policy&&) noexcept;
    report_policy& operator=(report_policy&&) noexcept;
    report_policy(report_policy const&) = delete;
    report_policy& operator=(report_policy const&) = delete;

    /// Whether the counts are worth a report now.
    bool is_due(steady_time now, evidence_by_route const& counts) const;

    /// Makes a report due because the share changed. Counts before and after belong to separate
    /// reports: with a fault of both versions that begins at the same time, their sum would
    /// charge it to the version whose share rose.
    void set_share_changed();

    /// Notes that the counts were sent in this many bytes.
    void set_sent(steady_time now, evidence_by_route const& counts, std::size_t bytes);

    /// Forgets what was sent, because a judge was replaced and knows nothing.
    void reset();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace peridot
