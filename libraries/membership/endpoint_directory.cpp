#include "membership/endpoint_directory.h"

#include <algorithm>

namespace peridot {

endpoint_directory::endpoint_directory(std::vector<member_record> const& alive) {
    this->alive_members.reserve(alive.size());
    for (auto const& record : alive) {
        this->alive_members.push_back(std::make_shared<member_record const>(record));
    }
    std::sort(this->alive_members.begin(), this->alive_members.end(),
              [](auto const& left, auto const& right) { return left->instance < right->instance; });
    for (auto const& member : this->alive_members) {
        if (member->state == member_state::serving && !member->service.empty()) {
            this->by_service[member->service][member->target_version].push_back(member);
        }
    }
}

endpoint_directory::member_list const&
endpoint_directory::endpoints(std::string_view service, std::string_view target_version) const {
    static member_list const none;
    auto const versions = this->by_service.find(service);
    if (versions == this->by_service.end()) {
        return none;
    }
    auto const found = versions->second.find(target_version);
    return found == versions->second.end() ? none : found->second;
}

} // namespace peridot
