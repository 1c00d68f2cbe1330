#include "mesh/load_estimate.h"

#include "mesh/fraction_of.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace peridot {

namespace {

// The constants below are the best of those tried in benchmarks/placement
// (docs/design/even-load.md).

// Half-life of the difference between the reported and the mean pace. Slowdowns last for some
// 600 ms; with 300 ms and more, targets that have recovered are left idle.
constexpr std::chrono::duration<double> pace_half_life{0.15};
// Weight of the newest pace in the moving average.
constexpr double pace_weight = 0.05;
// Weight of the newest service time in the moving average over all routes.
constexpr double work_weight = 0.1;
// Limits what a false pace can do to the estimate.
constexpr double min_pace = 0.05;
// Limits for the number of requests that a target with a changed pace is expected to hold, as a
// multiple of the usual one.
constexpr double min_accumulation = 0.5;
constexpr double max_accumulation = 3.0;
// Variance of the number of requests with a fresh report, since nodes choose at the same moment.
constexpr double min_variance = 0.8;
// Cost of a target without a free slot, besides the wait: the request may be refused and offered
// again while another target has a free slot.
constexpr milliseconds full_penalty{400};
// Fraction of the time that a request holds a slot longer because of a temporary slowdown that
// counts as cost: the report of a free slot says less about a target on which requests accumulate.
constexpr double slowdown_weight = 0.8;

// Probability that a variable of a normal distribution is above zero.
double probability_above_zero(double mean, double deviation) {
    return std::erfc(-mean / deviation / std::numbers::sqrt2) / 2;
}

// Mean of the positive part of a variable of a normal distribution.
double mean_above_zero(double mean, double deviation) {
    double const ratio = mean / deviation;
    double const density = std::exp(-ratio * ratio / 2) / std::sqrt(2 * std::numbers::pi);
    return deviation * density + mean * probability_above_zero(mean, deviation);
}

} // namespace

void load_estimate::observe(gate_load const& load, unsigned own, boot_time now) {
    if (load.pace) {
        this->mean_pace = this->report.pace
                              ? this->mean_pace + (*load.pace - this->mean_pace) * pace_weight
                              : *load.pace;
    }
    if (load.service_time.count() > 0) {
        auto const work = fraction_of(nanoseconds(load.service_time), load.pace.value_or(1));
        this->mean_work = this->mean_work.count() == 0
                              ? work
                              : this->mean_work + fraction_of(work - this->mean_work, work_weight);
    }
    this->report = load;
    this->others = std::max(0.0, static_cast<double>(load.in_use) + load.waiting - own);
    this->reported_at = now;
}

bool load_estimate::has_pace() const {
    return this->report.pace.has_value();
}

double load_estimate::pace(boot_time now) const {
    if (!this->report.pace) {
        return 1;
    }
    std::chrono::duration<double> const age = now - this->reported_at;
    double const remaining = std::exp2(-age / pace_half_life);
    return std::max(min_pace, this->mean_pace + (*this->report.pace - this->mean_pace) * remaining);
}

double load_estimate::reported_utilization() const {
    return this->report.slots == 0
               ? 0
               : (static_cast<double>(this->report.in_use) + this->report.waiting) /
                     this->report.slots;
}

nanoseconds load_estimate::cost(unsigned own, double usual_utilization, boot_time now) const {
    if (this->report.slots == 0 || this->mean_work.count() <= 0) {
        return nanoseconds(0);
    }
    double const pace = this->pace(now);
    auto const slot_time = fraction_of(this->mean_work, 1 / pace);
    double const slots = this->report.slots;
    std::chrono::duration<double> const age = now - this->reported_at;
    std::chrono::duration<double> const turnover = slot_time;
    double const remaining = std::exp(-age / turnover);
    // A slowed target that gets as many requests as usual holds more of them.
    double const accumulation =
        std::clamp(this->mean_pace / pace, min_accumulation, max_accumulation);
    double const usual = std::max(0.0, usual_utilization * slots * accumulation - own);
    double const expected = this->others * remaining + usual * (1 - remaining);
    // Arrivals and ends of other nodes' requests are independent of each other.
    double const deviation = std::sqrt(min_variance + usual * (1 - remaining * remaining));
    double const ahead = mean_above_zero(expected + own + 1 - slots, deviation);
    // Half a request corrects for the continuous distribution of a whole number.
    double const full = probability_above_zero(expected + own + 0.5 - slots, deviation);
    double const slowdown = std::max(0.0, 1 / pace - 1 / this->mean_pace);
    return fraction_of(slot_time, ahead / slots) + fraction_of(nanoseconds(full_penalty), full) +
           fraction_of(this->mean_work, slowdown_weight * slowdown);
}

} // namespace peridot
