#include "mesh/route_usage.h"

#include "mesh/fraction_of.h"

#include <cmath>

namespace peridot {

namespace {

// The half-life limits how much a route that was idle may use at once within its share.
constexpr std::chrono::duration<double> half_life{1.0};
// Routes that have used less than this are forgotten.
constexpr nanoseconds negligible_slot_time = microseconds(1);

} // namespace

void route_usage::add(std::string const& route, nanoseconds slot_time) {
    this->slot_times[route] += slot_time;
    this->total += slot_time;
}

void route_usage::decay(boot_time now) {
    double const remaining = std::exp2(-(now - this->decayed_at) / half_life);
    this->decayed_at = now;
    this->total = nanoseconds(0);
    for (auto entry = this->slot_times.begin(); entry != this->slot_times.end();) {
        entry->second = fraction_of(entry->second, remaining);
        if (entry->second < negligible_slot_time) {
            entry = this->slot_times.erase(entry);
            continue;
        }
        this->total += entry->second;
        ++entry;
    }
}

bool route_usage::is_within_share(std::string const& route, double share) const {
    auto const found = this->slot_times.find(route);
    auto const own = found == this->slot_times.end() ? nanoseconds(0) : found->second;
    auto const limit = fraction_of(this->total, share);
    if (own > limit) {
        return false;
    }
    nanoseconds used{0};
    for (auto const& [name, slot_time] : this->slot_times) {
        if (slot_time <= own) {
            used += slot_time;
        }
    }
    return used <= limit;
}

} // namespace peridot
