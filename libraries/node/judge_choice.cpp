#include "node/judge_choice.h"

#include "membership/rendezvous.h"

#include <set>

namespace peridot {

std::vector<std::string> choose_judges(endpoint_directory::member_list const& members,
                                       std::string_view move) {
    endpoint_directory::member_list staying;
    for (auto const& member : members) {
        if (member->state == member_state::starting || member->state == member_state::serving) {
            staying.push_back(member);
        }
    }
    auto const ranked = choose_by_rendezvous(staying, "move-" + std::string(move), staying.size());
    std::vector<std::string> judges;
    std::set<std::string> zones;
    endpoint_directory::member_list of_used_zones;
    for (auto const& member : ranked) {
        if (judges.size() < judge_count && zones.insert(member->availability_zone).second) {
            judges.push_back(member->instance);
        } else {
            of_used_zones.push_back(member);
        }
    }
    for (auto const& member : of_used_zones) {
        if (judges.size() < judge_count) {
            judges.push_back(member->instance);
        }
    }
    return judges;
}

} // namespace peridot
