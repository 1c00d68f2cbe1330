#include "mesh/version_share.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

// The version that most members run; of equal counts the one that was registered first.
std::string most_common(std::vector<member> const& members, std::string const& except) {
    std::map<std::string, std::size_t> counts;
    std::map<std::string, std::uint64_t> first_seen;
    for (auto const& candidate : members) {
        auto const& version = candidate.target.version;
        if (version == except) {
            continue;
        }
        ++counts[version];
        auto const [place, is_new] = first_seen.emplace(version, candidate.revision);
        place->second = std::min(place->second, candidate.revision);
    }
    std::string best;
    for (auto const& [version, count] : counts) {
        bool const is_better = best.empty() || count > counts[best] ||
                               (count == counts[best] && first_seen[version] < first_seen[best]);
        if (is_better) {
            best = version;
        }
    }
    return best;
}

bool has_version(std::vector<member> const& members, std::string const& version) {
    return std::ranges::any_of(members, [&](member const& candidate) {
        return candidate.target.version == version && candidate.target.state == target_state::ready;
    });
}

} // namespace

std::map<std::string, double> version_shares(std::vector<member> const& members,
                                             rollout const* current) {
    if (current == nullptr) {
        return {{most_common(members, {}), 1.0}};
    }
    std::string const old =
        current->from.empty() ? most_common(members, current->to) : current->from;
    switch (current->phase) {
    case rollout_phase::rolled_back:
        return {{old, 1.0}};
    case rollout_phase::complete:
        return {{current->to, 1.0}};
    case rollout_phase::running:
        break;
    }
    if (current->share <= 0 || !has_version(members, current->to)) {
        return {{old, 1.0}};
    }
    if (current->share >= 1 || old.empty()) {
        return {{current->to, 1.0}};
    }
    return {{old, 1.0 - current->share}, {current->to, current->share}};
}

std::vector<std::string> versions_to_try(std::string const& chosen,
                                         std::map<std::string, double> const& shares,
                                         rollout const* current) {
    std::vector<std::string> versions{chosen};
    if (current == nullptr || chosen != current->to) {
        return versions;
    }
    for (auto const& [version, share] : shares) {
        if (version != chosen) {
            versions.push_back(version);
        }
    }
    return versions;
}

std::string const& version_after(rollout const& ended) {
    return ended.phase == rollout_phase::complete ? ended.to : ended.from;
}

std::vector<member const*> members_in_use(std::vector<member> const& members,
                                          std::string const& version, rollout const* current) {
    std::vector<member const*> in_use;
    for (auto const& candidate : members) {
        if (candidate.target.version == version && candidate.target.state == target_state::ready) {
            in_use.push_back(&candidate);
        }
    }
    bool const is_partial = current != nullptr && current->phase == rollout_phase::running &&
                            version == current->to && current->share < 1;
    if (is_partial) {
        auto const wanted = static_cast<std::size_t>(
            std::ceil(current->share * static_cast<double>(in_use.size())));
        in_use.resize(std::min(in_use.size(), std::max<std::size_t>(1, wanted)));
    }
    return in_use;
}

} // namespace peridot
