#include "moves/disturbance_detector.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

// Calls of the blocks from which the usual rate is derived.
constexpr std::uint64_t block_calls = 100;
// The approximate numbers of calls from which the rate of the latest calls is derived.
constexpr double latest_window_calls = 60;
constexpr double newest_window_calls = 20;
// A rate of the latest calls above this many times the usual one, plus this, is a disturbance.
constexpr double disturbed_factor = 2;
constexpr double disturbed_offset = 0.1;
// Fraction of that rate below which the disturbance is over. Hysteresis: during a disturbance, the
// rate of a few calls falls by chance.
constexpr double calm_fraction = 0.5;

} // namespace

disturbance_detector::disturbance_detector(double highest_usual)
    : highest_usual_rate(highest_usual) {}

void disturbance_detector::decaying_sample::add(event_sample sample, double window_calls) {
    double const kept = std::exp(-static_cast<double>(sample.calls) / window_calls);
    this->calls = this->calls * kept + static_cast<double>(sample.calls);
    this->events = this->events * kept + static_cast<double>(sample.events);
}

double disturbance_detector::decaying_sample::rate() const {
    return this->calls == 0 ? 0 : this->events / this->calls;
}

void disturbance_detector::observe(event_sample sample) {
    this->add_to_block(sample);
    this->latest.add(sample, latest_window_calls);
    this->newest.add(sample, newest_window_calls);
    double const begin = disturbed_factor * this->usual_rate() + disturbed_offset;
    double const bound = this->is_rate_high ? begin * calm_fraction : begin;
    this->is_rate_high = this->slow_latest_rate() > bound;
}

void disturbance_detector::add_to_block(event_sample sample) {
    this->block += sample;
    if (this->block.calls >= block_calls) {
        this->lowest_block_rate = std::min(this->lowest_block_rate, rate(this->block));
        this->block = {};
    }
}

double disturbance_detector::usual_rate() const {
    return std::min(this->lowest_block_rate, this->highest_usual_rate);
}

bool disturbance_detector::has_enough_calls() const {
    return this->latest.calls >= latest_window_calls / 2;
}

double disturbance_detector::slow_latest_rate() const {
    return this->has_enough_calls() ? this->latest.rate() : 0;
}

double disturbance_detector::latest_rate() const {
    return std::min(this->slow_latest_rate(), this->newest.rate());
}

} // namespace peridot
