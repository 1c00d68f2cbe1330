#include "mesh/row_source_selector.h"

#include "mesh/fleet_view.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace peridot {

namespace {

// Backoff for an unreachable node; doubles while the node stays unreachable.
constexpr milliseconds initial_pause{1000};
constexpr milliseconds longest_pause{16'000};
constexpr milliseconds stale_pause{1500};
// Longer than the interval between two requests of a node that depends on this one.
constexpr milliseconds demand_duration{5000};
// Number of nodes that are skipped before a node follows the feed itself; also the number of
// leading nodes in each availability zone.
constexpr std::size_t max_skipped_nodes = 3;

} // namespace

class row_source_selector::implementation {
public:
    struct candidate {
        peer_source node;
        double processor_share = 0;
    };

    struct pause_state {
        steady_time until;
        milliseconds length{0};
        /// Whether the node responded that it had lost the store.
        bool has_lost_store = false;
    };

    static bool is_preferred(candidate const& first, candidate const& second) {
        if (first.processor_share != second.processor_share) {
            return first.processor_share > second.processor_share;
        }
        return first.node.instance < second.node.instance;
    }

    // Returns the pause of the node, or a null pointer if the node may be selected.
    pause_state const* find_pause(std::string const& name, steady_time now) const {
        auto const found = this->pauses.find(name);
        return found != this->pauses.end() && found->second.until > now ? &found->second : nullptr;
    }

    std::string instance;
    std::string availability_zone;
    /// Nodes of each availability zone in order of preference as followers of the feed.
    std::map<std::string, std::vector<candidate>> by_zone;
    std::unordered_map<std::string, pause_state> pauses;
    steady_time demanded_until;
};

row_source_selector::row_source_selector(std::string instance, std::string availability_zone)
    : self(std::make_unique<implementation>()) {
    this->self->instance = std::move(instance);
    this->self->availability_zone = std::move(availability_zone);
}

row_source_selector::~row_source_selector() = default;

void row_source_selector::set_members(fleet_view const& view) {
    auto& impl = *this->self;
    impl.by_zone.clear();
    for (auto const& [service, members] : view.members) {
        for (auto const& entry : members) {
            if (entry.target.state != target_state::gone) {
                impl.by_zone[entry.availability_zone].push_back(
                    {{entry.instance, entry.ip}, entry.processor_share});
            }
        }
    }
    std::unordered_set<std::string> present_instances;
    for (auto& [zone, nodes] : impl.by_zone) {
        std::ranges::sort(nodes, implementation::is_preferred);
        for (auto const& entry : nodes) {
            present_instances.insert(entry.node.instance);
        }
    }
    std::erase_if(impl.pauses, [&present_instances](auto const& entry) {
        return !present_instances.contains(entry.first);
    });
}

void row_source_selector::observe(std::string const& instance, source_observation observation,
                                  steady_time now) {
    auto& pause = this->self->pauses[instance];
    switch (observation) {
    case source_observation::current:
        this->self->pauses.erase(instance);
        break;
    case source_observation::stale:
        pause = {now + stale_pause, milliseconds(0), true};
        break;
    case source_observation::unreachable:
        pause.length = std::clamp(pause.length * 2, initial_pause, longest_pause);
        pause.until = now + pause.length;
        pause.has_lost_store = false;
        break;
    }
}

void row_source_selector::observe_demand(steady_time now) {
    this->self->demanded_until = now + demand_duration;
}

row_source row_source_selector::choose(steady_time now, bool is_store_unavailable) const {
    auto const& impl = *this->self;
    auto const zone = impl.by_zone.find(impl.availability_zone);
    if ((impl.demanded_until > now && !is_store_unavailable) || zone == impl.by_zone.end()) {
        return store_source{};
    }
    bool const is_leading = this->role() == store_role::leading;
    std::size_t skipped = 0;
    bool replaces_lost_node = false;
    for (auto const& [node, share] : zone->second) {
        bool const is_self = node.instance == impl.instance;
        bool const follows_store = !is_store_unavailable && (is_self || replaces_lost_node);
        if (follows_store || skipped == max_skipped_nodes) {
            break;
        }
        if (is_self) {
            continue;
        }
        auto const* pause = impl.find_pause(node.instance, now);
        if (pause == nullptr) {
            return node;
        }
        replaces_lost_node |= is_leading && pause->has_lost_store;
        ++skipped;
    }
    return store_source{};
}

std::optional<peer_source> row_source_selector::comparison_peer(steady_time now) const {
    auto const& impl = *this->self;
    // The zones form a ring, so that each zone is compared with a different one.
    std::vector<std::string> zones;
    auto const after = impl.by_zone.upper_bound(impl.availability_zone);
    for (auto position = after; position != impl.by_zone.end(); ++position) {
        zones.push_back(position->first);
    }
    for (auto position = impl.by_zone.begin(); position != after; ++position) {
        zones.push_back(position->first);
    }
    for (auto const& zone : zones) {
        if (zone == impl.availability_zone) {
            continue;
        }
        for (auto const& [node, share] : impl.by_zone.at(zone)) {
            if (impl.find_pause(node.instance, now) == nullptr) {
                return node;
            }
        }
    }
    return std::nullopt;
}

bool row_source_selector::has_zone_peers() const {
    auto const& impl = *this->self;
    auto const zone = impl.by_zone.find(impl.availability_zone);
    return zone != impl.by_zone.end() &&
           std::ranges::any_of(zone->second, [&impl](implementation::candidate const& entry) {
               return entry.node.instance != impl.instance;
           });
}

store_role row_source_selector::role() const {
    auto const& impl = *this->self;
    auto const zone = impl.by_zone.find(impl.availability_zone);
    if (zone == impl.by_zone.end()) {
        return store_role::leading;
    }
    auto const position =
        std::ranges::find_if(zone->second, [&impl](implementation::candidate const& entry) {
            return entry.node.instance == impl.instance;
        });
    bool const is_leading =
        position == zone->second.end() ||
        static_cast<std::size_t>(position - zone->second.begin()) < max_skipped_nodes;
    return is_leading ? store_role::leading : store_role::relying;
}

} // namespace peridot
