#include "membership/rendezvous.h"

#include "core/digest.h"

#include <algorithm>
#include <cstdint>

namespace peridot {

endpoint_directory::member_list choose_by_rendezvous(endpoint_directory::member_list const& members,
                                                     std::string_view key, std::size_t count) {
    struct weighted_member {
        std::uint64_t weight;
        endpoint_directory::member_pointer member;
    };
    std::uint64_t const key_hash = fingerprint(key);
    std::vector<weighted_member> weighted;
    weighted.reserve(members.size());
    for (auto const& member : members) {
        weighted.push_back({fingerprint(member->instance, key_hash), member});
    }
    std::size_t const taken = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(taken),
                      weighted.end(), [](auto const& left, auto const& right) {
                          return left.weight != right.weight
                                     ? left.weight > right.weight
                                     : left.member->instance < right.member->instance;
                      });
    endpoint_directory::member_list chosen;
    chosen.reserve(taken);
    for (std::size_t index = 0; index < taken; ++index) {
        chosen.push_back(weighted[index].member);
    }
    return chosen;
}

} // namespace peridot
