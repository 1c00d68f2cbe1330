#include "mesh/version_share.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

// The version that most members run. Ties are resolved in favor of the version that was registered
// first.
std::string most_common_version(std::vector<member> const& members, std::string const& except) {
    std::map<std::string, std::size_t> counts;
    std::map<std::string, store_revision> first_revision;
    for (auto const& candidate : members) {
        auto const& version = candidate.target.version;
        if (version == except) {
            continue;
        }
        ++counts[version];
        auto const [entry, is_new] = first_revision.emplace(version, candidate.revision);
        entry->second = std::min(entry->second, candidate.revision);
    }
    std::string best;
    for (auto const& [version, count] : counts) {
        bool const is_better =
            best.empty() || count > counts[best] ||
            (count == counts[best] && first_revision[version] < first_revision[best]);
        if (is_better) {
            best = version;
        }
    }
    return best;
}

// The version in force before a rollout.
std::string old_version_of(std::vector<member> const& members, rollout const& current) {
    return current.from.empty() ? most_common_version(members, current.to) : current.from;
}

bool has_ready_target(std::vector<member> const& members, std::string const& version) {
    return std::ranges::any_of(members, [&](member const& candidate) {
        return candidate.target.version == version && candidate.target.state == target_state::ready;
    });
}

std::vector<member const*> members_in_state(std::vector<member> const& members,
                                            std::string const& version, target_state state) {
    std::vector<member const*> found;
    for (auto const& candidate : members) {
        if (candidate.target.version == version && candidate.target.state == state) {
            found.push_back(&candidate);
        }
    }
    return found;
}

} // namespace

std::map<std::string, double> version_shares(std::vector<member> const& members,
                                             rollout const* current) {
    if (current == nullptr) {
        return {{most_common_version(members, {}), 1.0}};
    }
    std::string const old_version = old_version_of(members, *current);
    switch (current->phase) {
    case rollout_phase::rolled_back:
        return {{old_version, 1.0}};
    case rollout_phase::complete:
        return {{current->to, 1.0}};
    case rollout_phase::running:
        break;
    }
    if (current->share <= 0 || !has_ready_target(members, current->to)) {
        return {{old_version, 1.0}};
    }
    if (current->share >= 1 || old_version.empty()) {
        return {{current->to, 1.0}};
    }
    return {{old_version, 1.0 - current->share}, {current->to, current->share}};
}

std::vector<std::string> versions_to_try(std::string const& chosen,
                                         std::vector<member> const& members,
                                         rollout const* current) {
    std::vector<std::string> versions{chosen};
    bool const may_fall_back =
        current != nullptr && chosen == current->to && current->phase == rollout_phase::running;
    if (!may_fall_back) {
        return versions;
    }
    auto const old_version = old_version_of(members, *current);
    if (!old_version.empty() && old_version != chosen) {
        versions.push_back(old_version);
    }
    return versions;
}

std::string const& resulting_version(rollout const& ended) {
    return ended.phase == rollout_phase::complete ? ended.to : ended.from;
}

std::vector<member const*> unreachable_members(std::vector<member> const& members,
                                               std::string const& version) {
    return members_in_state(members, version, target_state::unreachable);
}

std::vector<member const*> active_members(std::vector<member> const& members,
                                          std::string const& version, rollout const* current) {
    auto active = members_in_state(members, version, target_state::ready);
    bool const is_partial = current != nullptr && current->phase == rollout_phase::running &&
                            version == current->to && current->share < 1;
    if (is_partial) {
        auto const required = static_cast<std::size_t>(
            std::ceil(current->share * static_cast<double>(active.size())));
        active.resize(std::min(active.size(), std::max<std::size_t>(1, required)));
    }
    return active;
}

} // namespace peridot
