#include "policy.h"

#include <algorithm>
#include <deque>
#include <functional>

namespace peridot::placement {

namespace {

constexpr std::size_t subset_size = 8;
// Prequal's defaults: a pool of 16 reports, each used at most twice, and the quantile of the
// requests in flight above which a target counts as hot.
constexpr std::size_t pool_size = 16;
constexpr unsigned report_uses = 2;
constexpr double hot_quantile = 0.84;

std::vector<member const*> pointers(std::vector<member> const& members) {
    std::vector<member const*> list;
    for (auto const& each : members) {
        list.push_back(&each);
    }
    return list;
}

/// The project's own selector.
class selector_policy final : public policy {
public:
    selector_policy(std::vector<member const*> candidates, std::string const& zone)
        : members(std::move(candidates)), selector(zone) {}

    std::optional<target_choice> choose(std::string const& route,
                                        target_selector::attempt_history const& history,
                                        boot_time now, random_source& random) override {
        return this->selector.choose(this->members, route, history, now, random);
    }
    void start(std::size_t target) override { this->selector.start(std::to_string(target)); }
    void finish(std::size_t target) override { this->selector.finish(std::to_string(target)); }
    void observe_refusal(std::size_t target, boot_time now) override {
        this->selector.observe(std::to_string(target), target_observation::busy, now);
    }
    void observe_load(std::size_t target, std::string const& route, gate_load const& load,
                      boot_time now) override {
        this->selector.observe_load(std::to_string(target), route, load, now);
    }

private:
    std::vector<member const*> members;
    target_selector selector;
};

/// Base of the alternatives: they choose among the targets of the zone that have not refused the
/// request, then among those of the other zones, and last offer it to any with its deadline as the
/// limit, like the selector.
class zone_policy : public policy {
public:
    zone_policy(std::vector<member> const& all, std::string availability_zone)
        : members(all), zone(std::move(availability_zone)), states(all.size()) {}

    std::optional<target_choice> choose(std::string const& /*route*/,
                                        target_selector::attempt_history const& history,
                                        boot_time /*now*/, random_source& random) override {
        std::vector<std::size_t> local;
        std::vector<std::size_t> remote;
        std::vector<std::size_t> busy;
        for (std::size_t target = 0; target < this->members.size(); ++target) {
            auto const& candidate = this->members[target];
            if (history.excluded.contains(candidate.instance)) {
                continue;
            }
            if (history.busy.contains(candidate.instance)) {
                busy.push_back(target);
            } else if (candidate.availability_zone == this->zone) {
                local.push_back(target);
            } else {
                remote.push_back(target);
            }
        }
        for (auto const* group : {&local, &remote}) {
            if (!group->empty()) {
                return target_choice{&this->members[this->choose_among(*group, random)],
                                     wait_limit::target_latency};
            }
        }
        if (busy.empty()) {
            return std::nullopt;
        }
        return target_choice{&this->members[this->choose_among(busy, random)],
                             wait_limit::deadline};
    }
    void start(std::size_t target) override { ++this->states[target].in_flight; }
    void finish(std::size_t target) override { --this->states[target].in_flight; }
    void observe_refusal(std::size_t /*target*/, boot_time /*now*/) override {}
    void observe_load(std::size_t target, std::string const& /*route*/, gate_load const& load,
                      boot_time /*now*/) override {
        this->states[target].load = load;
    }

protected:
    struct target_state {
        unsigned in_flight = 0;
        gate_load load;
    };

    virtual std::size_t choose_among(std::vector<std::size_t> const& group,
                                     random_source& random) = 0;

    static std::size_t random_of(std::vector<std::size_t> const& group, random_source& random) {
        return group[random() % group.size()];
    }

    target_state const& state(std::size_t target) const { return this->states[target]; }

private:
    std::vector<member> const& members;
    std::string zone;
    std::vector<target_state> states;
};

class two_choices_policy final : public zone_policy {
public:
    using zone_policy::zone_policy;

private:
    double cost(std::size_t target) const {
        auto const& known = this->state(target);
        double const requests = std::max(known.in_flight, known.load.in_use + known.load.waiting);
        double const time =
            std::max<double>(1, static_cast<double>(known.load.service_time.count()));
        return (requests + 1) * time;
    }
    std::size_t choose_among(std::vector<std::size_t> const& group,
                             random_source& random) override {
        auto const first = random_of(group, random);
        auto const second = random_of(group, random);
        return this->cost(second) < this->cost(first) ? second : first;
    }
};

class reused_reports_policy final : public zone_policy {
public:
    using zone_policy::zone_policy;

    void observe_load(std::size_t target, std::string const& route, gate_load const& load,
                      boot_time now) override {
        zone_policy::observe_load(target, route, load, now);
        std::erase_if(this->pool, [&](report const& each) { return each.target == target; });
        this->pool.push_back({target, load.in_use + load.waiting, load.service_time, 0});
        if (this->pool.size() > pool_size) {
            this->pool.pop_front();
        }
    }

private:
    struct report {
        std::size_t target = 0;
        unsigned requests = 0;
        milliseconds time{0};
        unsigned uses = 0;
    };

    std::size_t choose_among(std::vector<std::size_t> const& group,
                             random_source& random) override {
        std::vector<report*> usable;
        for (auto& each : this->pool) {
            if (std::ranges::find(group, each.target) != group.end()) {
                usable.push_back(&each);
            }
        }
        if (usable.size() < 2) {
            return random_of(group, random);
        }
        std::ranges::sort(usable, {}, &report::requests);
        auto const limit =
            usable[static_cast<std::size_t>(hot_quantile * static_cast<double>(usable.size() - 1))]
                ->requests;
        report* best = usable.front();
        bool const has_cold = best->requests < limit;
        for (auto* each : usable) {
            if (has_cold && each->requests < limit && each->time < best->time) {
                best = each;
            }
        }
        auto const target = best->target;
        ++best->requests;
        if (++best->uses >= report_uses) {
            std::erase_if(this->pool, [&](report const& each) { return each.target == target; });
        }
        return target;
    }

    std::deque<report> pool;
};

class idle_queue_policy final : public zone_policy {
public:
    using zone_policy::zone_policy;

    void observe_load(std::size_t target, std::string const& route, gate_load const& load,
                      boot_time now) override {
        zone_policy::observe_load(target, route, load, now);
        std::erase(this->idle, target);
        if (load.in_use < load.slots && load.waiting == 0) {
            this->idle.push_back(target);
        }
    }

private:
    std::size_t choose_among(std::vector<std::size_t> const& group,
                             random_source& random) override {
        for (auto found = this->idle.begin(); found != this->idle.end(); ++found) {
            if (std::ranges::find(group, *found) != group.end()) {
                auto const target = *found;
                this->idle.erase(found);
                return target;
            }
        }
        return random_of(group, random);
    }

    std::deque<std::size_t> idle;
};

class own_share_policy final : public zone_policy {
public:
    using zone_policy::zone_policy;

private:
    std::size_t choose_among(std::vector<std::size_t> const& group,
                             random_source& random) override {
        auto shuffled = group;
        std::ranges::shuffle(shuffled, random);
        return *std::ranges::min_element(
            shuffled, {}, [this](std::size_t target) { return this->state(target).in_flight; });
    }
};

std::vector<member const*> subset_of(std::vector<member> const& members, std::size_t node) {
    auto chosen = pointers(members);
    std::ranges::sort(chosen, {}, [node](member const* each) {
        return std::hash<std::string>{}(each->instance + "/" + std::to_string(node));
    });
    chosen.resize(std::min(chosen.size(), subset_size));
    return chosen;
}

} // namespace

std::unique_ptr<policy> make_policy(strategy kind, std::vector<member> const& members,
                                    std::size_t node, std::string const& zone) {
    switch (kind) {
    case strategy::two_choices:
        return std::make_unique<two_choices_policy>(members, zone);
    case strategy::reused_reports:
        return std::make_unique<reused_reports_policy>(members, zone);
    case strategy::idle_queue:
        return std::make_unique<idle_queue_policy>(members, zone);
    case strategy::own_share:
        return std::make_unique<own_share_policy>(members, zone);
    case strategy::subset:
        return std::make_unique<selector_policy>(subset_of(members, node), zone);
    case strategy::least_time:
    case strategy::even_load:
    case strategy::common_queue:
        break;
    }
    return std::make_unique<selector_policy>(pointers(members), zone);
}

} // namespace peridot::placement
