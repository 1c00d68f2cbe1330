#include "mesh/refused_callers.h"

#include "core/time.h"

#include <iterator>

namespace peridot {

namespace {

// Attempts state the remaining time in whole milliseconds and take different times to arrive.
constexpr milliseconds tolerance{5};
// Numbers of refusals that are remembered, for one route of a workspace and in all. They bound
// memory.
constexpr std::size_t route_capacity = 256;
constexpr std::size_t total_capacity = 8192;

} // namespace

void refused_callers::add(std::string const& workspace, std::string const& route,
                          boot_time deadline, boot_time now) {
    auto& remembered = this->deadlines[{workspace, route}];
    this->forget_before(remembered, now);
    if (remembered.size() < route_capacity && this->count < total_capacity) {
        remembered.insert(deadline);
        ++this->count;
    }
}

bool refused_callers::take(std::string const& workspace, std::string const& route,
                           boot_time deadline) {
    auto const group = this->deadlines.find({workspace, route});
    if (group == this->deadlines.end()) {
        return false;
    }
    auto const found = group->second.lower_bound(deadline - tolerance);
    if (found == group->second.end() || *found > deadline + tolerance) {
        return false;
    }
    group->second.erase(found);
    --this->count;
    return true;
}

void refused_callers::forget_expired(boot_time now) {
    for (auto group = this->deadlines.begin(); group != this->deadlines.end();) {
        auto& remembered = group->second;
        this->forget_before(remembered, now);
        group = remembered.empty() ? this->deadlines.erase(group) : std::next(group);
    }
}

void refused_callers::forget_before(refused_deadlines& remembered, boot_time now) {
    while (!remembered.empty() && *remembered.begin() < now) {
        remembered.erase(remembered.begin());
        --this->count;
    }
}

} // namespace peridot
