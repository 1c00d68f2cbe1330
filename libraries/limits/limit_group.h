#pragma once

#include "limits/limit_demand.h"
#include "limits/limit_divider.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

/// One lease that its holder may still use.
struct limit_grant {
    std::uint64_t lease = 0;
    double rate = 0.0;
    std::uint32_t concurrency = 0;
    steady_time expires;
};

/// What a divider knows of one entry node.
struct limit_holder {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    limit_demand demand;
    steady_time reported;
    std::vector<limit_grant> grants;
    double fair_rate = 0.0;
    std::uint32_t fair_concurrency = 0;
    steady_time granted;
};

/// Holders and leases of one limit. Internal to limit_divider.
class limit_group {
public:
    limit_group(limit_divider_options const& settings, limit_quota const& first, steady_time now);

    void set_quota(limit_quota const& changed) { this->quota = changed; }

    /// Takes the report; false if it is older than the last one.
    bool take(entry_node const& sender, std::uint64_t sequence, limit_demand const& demand,
              steady_time now);

    /// Divides the quota anew if the last division is old or a holder is new.
    void divide_if_due(fleet_view const& fleet, steady_time now);

    /// Leases the holder its part, as far as other leases leave room.
    limit_share grant(std::string const& instance, std::uint64_t lease, fleet_view const& fleet,
                      steady_time now);

    /// Whether the holder's part differs enough from its last lease.
    bool is_push_due(limit_holder const& holder, fleet_view const& fleet, steady_time now) const;

    double leased_rate(steady_time now) const;
    std::map<std::string, limit_holder> const& all_holders() const { return this->holders; }

private:
    struct amount {
        double rate = 0.0;
        std::uint32_t concurrency = 0;
    };

    void remove_lapsed(steady_time now);
    amount leased(limit_holder const& holder, steady_time now) const;
    amount room_for(limit_holder const& holder, steady_time now) const;
    amount wanted(limit_holder const& holder, fleet_view const& fleet, steady_time now) const;
    amount next_share(limit_holder const& holder, fleet_view const& fleet, steady_time now) const;
    std::uint32_t visible_concurrency(fleet_view const& fleet) const;
    double least_burst() const;
    bool is_confirming(steady_time now) const;

    limit_divider_options options;
    limit_quota quota;
    steady_time responsible_since;
    std::map<std::string, limit_holder> holders;
    std::optional<steady_time> divided;
};

} // namespace peridot
