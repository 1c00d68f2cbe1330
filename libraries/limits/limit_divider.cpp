#include "limits/limit_divider.h"

#include "limits/limit_group.h"

#include <map>

namespace peridot {

struct limit_divider::implementation {
    limit_divider_options options;
    std::uint64_t last_lease = 0;
    std::map<limit_key, limit_group> groups;
};

limit_divider::limit_divider(limit_divider_options const& options, std::uint64_t first_lease)
    : self(std::make_unique<implementation>()) {
    this->self->options = options;
    this->self->last_lease = first_lease;
}

limit_divider::~limit_divider() = default;

void limit_divider::set_quota(limit_key key, limit_quota const& quota, steady_time now) {
    auto const [position, is_new] =
        this->self->groups.try_emplace(key, this->self->options, quota, now);
    if (!is_new) {
        position->second.set_quota(quota);
    }
}

void limit_divider::remove(limit_key key) {
    this->self->groups.erase(key);
}

result<limit_share> limit_divider::report(entry_node const& sender, std::uint64_t sequence,
                                          limit_demand const& demand, fleet_view const& fleet,
                                          steady_time now) {
    auto const found = this->self->groups.find(demand.key);
    if (found == this->self->groups.end()) {
        return error{result_code::contract_not_found, "this node does not divide the limit"};
    }
    auto& group = found->second;
    if (!group.take(sender, sequence, demand, now)) {
        return error{result_code::member_superseded, "a newer demand report is known"};
    }
    group.divide_if_due(fleet, now);
    return group.grant(sender.instance, ++this->self->last_lease, fleet, now);
}

std::vector<addressed_share> limit_divider::rebalance(fleet_view const& fleet, steady_time now) {
    std::vector<addressed_share> pushed;
    for (auto& [key, group] : this->self->groups) {
        group.divide_if_due(fleet, now);
        for (auto const& [instance, holder] : group.all_holders()) {
            if (group.is_push_due(holder, fleet, now)) {
                pushed.push_back(
                    {instance, group.grant(instance, ++this->self->last_lease, fleet, now)});
            }
        }
    }
    return pushed;
}

double limit_divider::leased_rate(limit_key key, steady_time now) const {
    auto const found = this->self->groups.find(key);
    return found == this->self->groups.end() ? 0.0 : found->second.leased_rate(now);
}

} // namespace peridot
