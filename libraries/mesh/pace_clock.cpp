#include "mesh/pace_clock.h"

#include "mesh/fraction_of.h"

#include <algorithm>

namespace peridot {

namespace {

// Limits what a faulty or false statement of a target can do to the forecasts of its gate.
constexpr double min_pace = 0.1;
constexpr double max_pace = 4.0;
// A target in use confirms its pace every few milliseconds; slowdowns last for some 600 ms.
constexpr milliseconds lifetime{500};
// Weight of the newest pace in the moving average.
constexpr double mean_weight = 0.01;

} // namespace

void pace_clock::set(double pace, boot_time now) {
    this->work_before = this->work_at(now);
    this->changed_at = now;
    double const limited = std::clamp(pace, min_pace, max_pace);
    this->mean = this->latest ? this->mean + (limited - this->mean) * mean_weight : limited;
    this->latest = limited;
}

void pace_clock::reset(boot_time now) {
    this->work_before = this->work_at(now);
    this->changed_at = now;
    this->latest.reset();
}

std::optional<double> pace_clock::pace(boot_time now) const {
    if (!this->latest) {
        return std::nullopt;
    }
    return now - this->changed_at <= lifetime ? *this->latest : this->mean;
}

nanoseconds pace_clock::work_at(boot_time now) const {
    auto const elapsed = now - this->changed_at;
    if (!this->latest) {
        return this->work_before + elapsed;
    }
    auto const confirmed = std::min<nanoseconds>(elapsed, lifetime);
    return this->work_before + fraction_of(confirmed, *this->latest) +
           fraction_of(elapsed - confirmed, this->mean);
}

nanoseconds pace_clock::time_for(nanoseconds work, boot_time now) const {
    auto const pace = this->pace(now);
    return pace ? fraction_of(work, 1 / *pace) : work;
}

nanoseconds pace_clock::work_in(nanoseconds time, boot_time now) const {
    auto const pace = this->pace(now);
    return pace ? fraction_of(time, *pace) : time;
}

} // namespace peridot
