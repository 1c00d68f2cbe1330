#pragma once

#include "core/result.h"
#include "core/time.h"
#include "limits/limit_demand.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peridot {

/// The sender of a demand report.
struct entry_node {
    std::string instance;
    std::uint64_t incarnation = 0;
};

/// A share and the entry node it is for.
struct addressed_share {
    std::string instance;
    limit_share share;
};

/// Settings of a divider.
struct limit_divider_options {
    milliseconds lease{3000};
    /// A share counts this much longer here than at its holder, for the time in the network.
    milliseconds lease_slack{200};
    /// Demand is met with this factor, so that its noise is not refused.
    double headroom = 1.05;
    /// Smallest demand assumed, as a part of an equal share, so that a new entry node can start.
    double floor_part = 0.02;
    /// Tokens that the bucket of a small share may hold, while all of them together hold no more
    /// than the limit gives in least_burst_time.
    double least_burst = 8.0;
    milliseconds least_burst_time{8000};
    /// Divisions of one limit are at least this far apart.
    milliseconds division_interval{50};
    /// Relative change of a share that is worth a message of its own.
    double push_change = 0.1;
};

/// Divides fleet-wide limits among entry nodes, at the member that rendezvous hashing makes
/// responsible for their keys. The leases it has out never sum to more than the limit: a share
/// grows only after the holder of the freed part has reported the smaller lease, or its lease has
/// lapsed. For one lease time after taking a key over it only confirms the shares that the reports
/// name, because it does not know what its predecessor has out.
class limit_divider {
public:
    /// Lease numbers start above first_lease; a random start tells dividers apart.
    limit_divider(limit_divider_options const& options, std::uint64_t first_lease);
    ~limit_divider();
    limit_divider(limit_divider const&) = delete;
    limit_divider& operator=(limit_divider const&) = delete;
    limit_divider(limit_divider&&) = delete;
    limit_divider& operator=(limit_divider&&) = delete;

    /// Makes this node responsible for the key from now on, or changes its quota.
    void set_quota(limit_key key, limit_quota const& quota, steady_time now);

    /// Ends the responsibility; leases lapse by themselves.
    void remove(limit_key key);

    /// Takes a report and gives the sender a new share. contract_not_found for a key this node is
    /// not responsible for; member_superseded for a report older than the last one.
    result<limit_share> report(entry_node const& sender, std::uint64_t sequence,
                               limit_demand const& demand, fleet_view const& fleet,
                               steady_time now);

    /// New shares for those whose part has changed much since their last lease. Called about every
    /// 100 ms.
    std::vector<addressed_share> rebalance(fleet_view const& fleet, steady_time now);

    /// Rate that is leased out now.
    double leased_rate(limit_key key, steady_time now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
