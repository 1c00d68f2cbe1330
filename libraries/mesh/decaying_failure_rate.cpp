#include "mesh/decaying_failure_rate.h"

#include <cmath>

namespace peridot {

namespace {

// Weight of the newest response in the moving average.
constexpr double sample_weight = 0.15;
constexpr std::chrono::duration<double> half_life{8.0};

} // namespace

void decaying_failure_rate::observe(outcome result, boot_time now) {
    double const sample = result == outcome::failed ? 1 : 0;
    auto const current_rate = this->at(now);
    this->set(current_rate + sample_weight * (sample - current_rate), now);
}

void decaying_failure_rate::set(double new_rate, boot_time now) {
    this->rate = new_rate;
    this->updated_at = now;
}

double decaying_failure_rate::at(boot_time now) const {
    std::chrono::duration<double> const age = now - this->updated_at;
    return this->rate * std::exp2(-age / half_life);
}

} // namespace peridot
