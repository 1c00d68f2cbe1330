#include "distribution/watcher_election.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <string>

namespace peridot {

endpoint_directory::member_list elect_watchers(endpoint_directory::member_list const& members,
                                               std::string_view availability_zone) {
    endpoint_directory::member_list staying;
    endpoint_directory::member_list leaving;
    for (auto const& member : members) {
        if (member->availability_zone == availability_zone) {
            (member->state >= member_state::draining ? leaving : staying).push_back(member);
        }
    }
    auto const key = "head-watcher/" + std::string(availability_zone);
    return choose_by_rendezvous(staying.empty() ? leaving : staying, key, watchers_per_zone);
}

bool is_watcher(endpoint_directory::member_list const& members, std::string_view availability_zone,
                std::string_view instance) {
    auto const watchers = elect_watchers(members, availability_zone);
    return std::any_of(watchers.begin(), watchers.end(),
                       [&](auto const& watcher) { return watcher->instance == instance; });
}

} // namespace peridot
