#include "mesh/request_pacer.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

// Requests that may start at once are those of this time.
constexpr std::chrono::duration<double> burst_duration{0.25};
// Only responses show that a limit has been lifted, so a target with a limit of zero still gets a
// few requests.
constexpr double min_requests_per_second = 0.5;

} // namespace

void request_pacer::set_rate(std::optional<double> requests_per_second, boot_time now) {
    if (!requests_per_second) {
        this->interval = nanoseconds(0);
        return;
    }
    double const rate = std::max(*requests_per_second, min_requests_per_second);
    double const burst = std::max(1.0, std::floor(rate * burst_duration.count()));
    std::chrono::duration<double> const between(1 / rate);
    auto const next_interval = std::chrono::duration_cast<nanoseconds>(between);
    if (next_interval == this->interval) {
        return;
    }
    this->next_due =
        this->interval.count() == 0 ? now : std::min(this->next_due, now + next_interval);
    this->interval = next_interval;
    this->burst_time = std::chrono::duration_cast<nanoseconds>(between * (burst - 1));
}

boot_time request_pacer::earliest_start(boot_time now) const {
    return this->interval.count() == 0 ? now : std::max(now, this->next_due - this->burst_time);
}

void request_pacer::start(boot_time at) {
    if (this->interval.count() > 0) {
        this->next_due = std::max(this->next_due, at) + this->interval;
    }
}

} // namespace peridot
