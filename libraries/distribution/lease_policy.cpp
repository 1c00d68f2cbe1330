#include "distribution/lease_policy.h"

#include "membership/rendezvous.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr milliseconds clock_margin{2000};
constexpr double jitter_part = 0.3;

} // namespace

std::size_t lease_rank(endpoint_directory::member_list const& members, std::string_view instance) {
    auto const order = choose_by_rendezvous(members, "lease", members.size());
    auto const own = std::find_if(order.begin(), order.end(),
                                  [&](auto const& member) { return member->instance == instance; });
    return static_cast<std::size_t>(own - order.begin());
}

milliseconds lease_check_delay(std::size_t rank, random_source& random) {
    std::uniform_real_distribution<double> jitter(1 - jitter_part, 1 + jitter_part);
    auto const delay = static_cast<double>(lease_renewal.count()) * static_cast<double>(rank + 1);
    return milliseconds(static_cast<std::int64_t>(delay * jitter(random)));
}

bool is_lease_free(lease const& current, wall_time now) {
    return current.revision == 0 || current.holder.empty() || now > current.expires + clock_margin;
}

lease next_lease(lease const& current, std::string_view instance, wall_time now) {
    lease next = current;
    next.expires = now + lease_duration;
    if (current.holder != instance || current.epoch == 0) {
        next.holder = instance;
        ++next.epoch;
    }
    return next;
}

} // namespace peridot
