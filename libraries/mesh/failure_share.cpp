#include "mesh/failure_share.h"

#include <cmath>

namespace peridot {

namespace {

// Weight of the newest answer.
constexpr double newest_weight = 0.15;
constexpr std::chrono::duration<double> half_life{8.0};

} // namespace

void failure_share::observe(ending how, boot_time now) {
    double const newest = how == ending::failed ? 1 : 0;
    auto const known = this->at(now);
    this->set(known + newest_weight * (newest - known), now);
}

void failure_share::set(double known, boot_time now) {
    this->share = known;
    this->seen = now;
}

double failure_share::at(boot_time now) const {
    std::chrono::duration<double> const age = now - this->seen;
    return this->share * std::exp2(-age / half_life);
}

} // namespace peridot
