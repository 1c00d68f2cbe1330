#include "mesh/row_source_selector.h"

#include "mesh/fleet_view.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace peridot {

namespace {

// A node is passed over for a time that doubles as long as it stays unreachable.
constexpr milliseconds first_pause{1000};
constexpr milliseconds longest_pause{16'000};
constexpr milliseconds stale_pause{1500};
// Longer than the pause between two questions of a node that relies on this one.
constexpr milliseconds demand_time{5000};
// Nodes that are passed over before a node follows the feed by itself; also the number of nodes of
// an availability zone that count as leading.
constexpr std::size_t most_passed_over = 3;

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
    };

    static bool comes_before(candidate const& first, candidate const& second) {
        if (first.processor_share != second.processor_share) {
            return first.processor_share > second.processor_share;
        }
        return first.node.instance < second.node.instance;
    }

    bool is_paused(std::string const& name, steady_time now) const {
        auto const found = this->pauses.find(name);
        return found != this->pauses.end() && found->second.until > now;
    }

    std::string instance;
    std::string availability_zone;
    /// The nodes of each availability zone, the first to follow the feed in front.
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
    auto& own = *this->self;
    own.by_zone.clear();
    for (auto const& [service, members] : view.members) {
        for (auto const& known : members) {
            if (known.target.state != target_state::gone) {
                own.by_zone[known.availability_zone].push_back(
                    {{known.instance, known.ip}, known.processor_share});
            }
        }
    }
    std::unordered_set<std::string> present;
    for (auto& [zone, nodes] : own.by_zone) {
        std::ranges::sort(nodes, implementation::comes_before);
        for (auto const& known : nodes) {
            present.insert(known.node.instance);
        }
    }
    std::erase_if(own.pauses,
                  [&present](auto const& entry) { return !present.contains(entry.first); });
}

void row_source_selector::observe(std::string const& instance, source_observation seen,
                                  steady_time now) {
    auto& pause = this->self->pauses[instance];
    switch (seen) {
    case source_observation::current:
        this->self->pauses.erase(instance);
        break;
    case source_observation::stale:
        pause = {now + stale_pause, milliseconds(0)};
        break;
    case source_observation::unreachable:
        pause.length = std::clamp(pause.length * 2, first_pause, longest_pause);
        pause.until = now + pause.length;
        break;
    }
}

void row_source_selector::observe_demand(steady_time now) {
    this->self->demanded_until = now + demand_time;
}

row_source row_source_selector::choose(steady_time now, bool is_store_out) const {
    auto const& own = *this->self;
    auto const zone = own.by_zone.find(own.availability_zone);
    if ((own.demanded_until > now && !is_store_out) || zone == own.by_zone.end()) {
        return store_source{};
    }
    std::size_t passed_over = 0;
    for (auto const& [node, share] : zone->second) {
        bool const is_own = node.instance == own.instance;
        if ((is_own && !is_store_out) || passed_over == most_passed_over) {
            break;
        }
        if (is_own) {
            continue;
        }
        if (!own.is_paused(node.instance, now)) {
            return node;
        }
        ++passed_over;
    }
    return store_source{};
}

std::optional<peer_source> row_source_selector::comparison(steady_time now) const {
    auto const& own = *this->self;
    // The zones form a ring, so that each is compared with another one.
    std::vector<std::string> order;
    auto const after = own.by_zone.upper_bound(own.availability_zone);
    for (auto place = after; place != own.by_zone.end(); ++place) {
        order.push_back(place->first);
    }
    for (auto place = own.by_zone.begin(); place != after; ++place) {
        order.push_back(place->first);
    }
    for (auto const& zone : order) {
        if (zone == own.availability_zone) {
            continue;
        }
        for (auto const& [node, share] : own.by_zone.at(zone)) {
            if (!own.is_paused(node.instance, now)) {
                return node;
            }
        }
    }
    return std::nullopt;
}

bool row_source_selector::knows_others() const {
    auto const& own = *this->self;
    auto const zone = own.by_zone.find(own.availability_zone);
    return zone != own.by_zone.end() &&
           std::ranges::any_of(zone->second, [&own](implementation::candidate const& known) {
               return known.node.instance != own.instance;
           });
}

store_role row_source_selector::role() const {
    auto const& own = *this->self;
    auto const zone = own.by_zone.find(own.availability_zone);
    if (zone == own.by_zone.end()) {
        return store_role::leading;
    }
    auto const place =
        std::ranges::find_if(zone->second, [&own](implementation::candidate const& known) {
            return known.node.instance == own.instance;
        });
    bool const is_leading =
        place == zone->second.end() ||
        static_cast<std::size_t>(place - zone->second.begin()) < most_passed_over;
    return is_leading ? store_role::leading : store_role::relying;
}

} // namespace peridot
