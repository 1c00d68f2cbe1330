#include "mesh/refused_callers.h"

#include "core/time.h"

#include <iterator>

namespace peridot {

namespace {

// Attempts state the remaining time in whole milliseconds and take different times to arrive.
constexpr milliseconds tolerance{5};
// Number of refusals that are remembered for one route of a workspace. This bounds memory.
constexpr std::size_t capacity = 256;

} // namespace

void refused_callers::add(std::string const& workspace, std::string const& route,
                          boot_time deadline, boot_time now) {
    auto& remembered = this->deadlines[{workspace, route}];
    remembered.erase(remembered.begin(), remembered.lower_bound(now));
    if (remembered.size() < capacity) {
        remembered.insert(deadline);
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
    return true;
}

void refused_callers::forget_expired(boot_time now) {
    for (auto group = this->deadlines.begin(); group != this->deadlines.end();) {
        auto& remembered = group->second;
        remembered.erase(remembered.begin(), remembered.lower_bound(now));
        group = remembered.empty() ? this->deadlines.erase(group) : std::next(group);
    }
}

} // namespace peridot
