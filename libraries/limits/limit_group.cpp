#include "limits/limit_group.h"

#include "limits/max_min_division.h"

#include <algorithm>
#include <cmath>

namespace peridot {

limit_group::limit_group(limit_divider_options const& settings, limit_quota const& first,
                         steady_time now)
    : options(settings), quota(first), responsible_since(now) {}

bool limit_group::take(entry_node const& sender, std::uint64_t sequence, limit_demand const& demand,
                       steady_time now) {
    auto const [position, is_new] = this->holders.try_emplace(sender.instance);
    auto& holder = position->second;
    bool const is_older = sender.incarnation != holder.incarnation
                              ? sender.incarnation < holder.incarnation
                              : sequence <= holder.sequence;
    if (!is_new && is_older) {
        return false;
    }
    holder.incarnation = sender.incarnation;
    holder.sequence = sequence;
    holder.demand = demand;
    holder.reported = now;
    auto const held =
        std::find_if(holder.grants.begin(), holder.grants.end(),
                     [&](auto const& each) { return each.lease == demand.held_lease; });
    if (held != holder.grants.end()) {
        holder.grants.erase(holder.grants.begin(), held);
    } else if (demand.held_time_left > milliseconds::zero()) {
        // A lease of another divider.
        holder.grants.insert(holder.grants.begin(),
                             {demand.held_lease, demand.held_rate, demand.held_concurrency,
                              now + demand.held_time_left});
    }
    if (is_new) {
        this->divided.reset();
    }
    return true;
}

void limit_group::remove_lapsed(steady_time now) {
    for (auto position = this->holders.begin(); position != this->holders.end();) {
        auto& holder = position->second;
        std::erase_if(holder.grants, [&](auto const& each) { return each.expires <= now; });
        bool const is_gone = holder.grants.empty() && now - holder.reported > this->options.lease;
        position = is_gone ? this->holders.erase(position) : std::next(position);
    }
}

void limit_group::divide_if_due(fleet_view const& fleet, steady_time now) {
    if (this->divided && now - *this->divided < this->options.division_interval) {
        return;
    }
    this->divided = now;
    this->remove_lapsed(now);
    double const rate = this->quota.rate_per_second * visible_part(fleet);
    auto const concurrency = this->visible_concurrency(fleet);
    auto const count = static_cast<double>(std::max<std::size_t>(1, this->holders.size()));
    double const least_rate = this->options.floor_part * rate / count;
    // Every node keeps a place if there are enough, or its next request would find none.
    double const least_concurrency = concurrency >= count ? 1.0 : 0.0;
    std::vector<division_demand> rates;
    std::vector<division_demand> concurrencies;
    for (auto const& [instance, holder] : this->holders) {
        double const weight = holder.demand.weight;
        rates.push_back(
            {std::max(holder.demand.rate * this->options.headroom, least_rate), weight});
        concurrencies.push_back(
            {std::max<double>(holder.demand.concurrency, least_concurrency), weight});
    }
    auto const rate_parts = divide(rate, rates);
    auto const concurrency_parts = divide_whole(concurrency, concurrencies);
    std::size_t index = 0;
    for (auto& [instance, holder] : this->holders) {
        holder.fair_rate = rate_parts[index];
        holder.fair_concurrency = concurrency_parts[index];
        ++index;
    }
}

limit_group::amount limit_group::leased(limit_holder const& holder, steady_time now) const {
    amount largest;
    for (auto const& each : holder.grants) {
        if (each.expires > now) {
            largest.rate = std::max(largest.rate, each.rate);
            largest.concurrency = std::max(largest.concurrency, each.concurrency);
        }
    }
    return largest;
}

double limit_group::leased_rate(steady_time now) const {
    double sum = 0.0;
    for (auto const& [instance, holder] : this->holders) {
        sum += this->leased(holder, now).rate;
    }
    return sum;
}

/// What the whole limit leaves beside the leases of all other holders. Holders that have vanished
/// from view still count until their leases lapse, so the view does not reduce the room.
limit_group::amount limit_group::room_for(limit_holder const& holder, steady_time now) const {
    double rate = this->quota.rate_per_second;
    std::int64_t concurrency = this->quota.concurrency;
    for (auto const& [instance, other] : this->holders) {
        if (&other != &holder) {
            auto const taken = this->leased(other, now);
            rate -= taken.rate;
            concurrency -= taken.concurrency;
        }
    }
    return {std::max(0.0, rate),
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, concurrency))};
}

limit_group::amount limit_group::wanted(limit_holder const& holder, fleet_view const& fleet,
                                        steady_time now) const {
    if (!this->is_confirming(now)) {
        return {holder.fair_rate, holder.fair_concurrency};
    }
    if (holder.demand.held_lease != 0) {
        return {holder.demand.held_rate, holder.demand.held_concurrency};
    }
    auto const known = std::max(1U, fleet.known);
    return {this->quota.rate_per_second / known, this->quota.concurrency / known};
}

limit_group::amount limit_group::next_share(limit_holder const& holder, fleet_view const& fleet,
                                            steady_time now) const {
    auto const room = this->room_for(holder, now);
    auto const part = this->wanted(holder, fleet, now);
    return {std::min(part.rate, room.rate), std::min(part.concurrency, room.concurrency)};
}

limit_share limit_group::grant(std::string const& instance, std::uint64_t lease,
                               fleet_view const& fleet, steady_time now) {
    auto& holder = this->holders[instance];
    auto const next = this->next_share(holder, fleet, now);
    holder.granted = now;
    holder.grants.push_back({lease, next.rate, next.concurrency,
                             now + this->options.lease + this->options.lease_slack});
    double const part =
        this->quota.rate_per_second > 0.0 ? next.rate / this->quota.rate_per_second : 0.0;
    double const burst = std::max(this->least_burst(), this->quota.burst * part);
    return {holder.demand.key, lease, next.rate, burst, next.concurrency, this->options.lease};
}

/// A bucket of one token refuses a third of random arrivals at twice its rate, so small shares get
/// some more, as long as all together stay below least_burst_time of the limit.
double limit_group::least_burst() const {
    auto const count = static_cast<double>(std::max<std::size_t>(1, this->holders.size()));
    std::chrono::duration<double> const time = this->options.least_burst_time;
    return std::clamp(this->quota.rate_per_second * time.count() / count, 1.0,
                      this->options.least_burst);
}

bool limit_group::is_push_due(limit_holder const& holder, fleet_view const& fleet,
                              steady_time now) const {
    if (holder.grants.empty() || this->is_confirming(now) ||
        now - holder.granted < 2 * this->options.division_interval) {
        return false;
    }
    auto const& last = holder.grants.back();
    auto const differs = [&](amount const& part) {
        double const change = std::abs(part.rate - last.rate);
        return change > this->options.push_change * std::max(part.rate, last.rate) ||
               part.concurrency != last.concurrency;
    };
    // The room takes a pass over all holders, so it is computed only for those with a new part.
    return differs({holder.fair_rate, holder.fair_concurrency}) &&
           differs(this->next_share(holder, fleet, now));
}

std::uint32_t limit_group::visible_concurrency(fleet_view const& fleet) const {
    return static_cast<std::uint32_t>(this->quota.concurrency * visible_part(fleet));
}

bool limit_group::is_confirming(steady_time now) const {
    return now - this->responsible_since < this->options.lease + this->options.lease_slack;
}

} // namespace peridot
