#include "mesh/evacuation_history.h"

namespace peridot {

std::set<std::string, std::less<>> evacuation_history::update(std::set<std::string> const& stored,
                                                              std::uint64_t era) {
    for (auto const& zone : stored) {
        this->last_seen[zone] = era;
    }
    std::erase_if(this->last_seen, [&](auto const& entry) {
        return entry.second == era && !stored.contains(entry.first);
    });
    std::set<std::string, std::less<>> in_force;
    for (auto const& [zone, seen] : this->last_seen) {
        in_force.insert(zone);
    }
    return in_force;
}

} // namespace peridot
