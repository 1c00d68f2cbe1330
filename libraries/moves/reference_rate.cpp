#include "moves/reference_rate.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

// The approximate number of calls from which the recent rate is derived.
constexpr double recent_window_calls = 4'000;
// In shorter windows, the highest rate would be dominated by random fluctuation.
constexpr std::uint64_t window_calls = 1'000;
// The approximate number of calls from which the rate of the latest calls is derived.
constexpr double latest_window_calls = 60;
// A rate of the latest calls above this many times the recent one, plus this, is a disturbance.
constexpr double disturbed_factor = 2;
constexpr double disturbed_offset = 0.1;
// Prior for the rate before any calls: 0.2 % of events.
constexpr double prior_calls = 100;
constexpr double prior_events = 0.2;
constexpr double lowest_rate = 1e-4;
constexpr double highest_rate = 0.999;

double rate(event_sample sample) {
    return sample.calls == 0
               ? 0
               : static_cast<double>(sample.events) / static_cast<double>(sample.calls);
}

} // namespace

void reference_rate::add(event_sample sample) {
    this->observed_calls += sample.calls;
    this->recent_calls += static_cast<double>(sample.calls);
    this->recent_events += static_cast<double>(sample.events);
    if (this->recent_calls > recent_window_calls) {
        double const scale = recent_window_calls / this->recent_calls;
        this->recent_calls *= scale;
        this->recent_events *= scale;
    }
    double const kept = std::exp(-static_cast<double>(sample.calls) / latest_window_calls);
    this->latest_calls = this->latest_calls * kept + static_cast<double>(sample.calls);
    this->latest_events = this->latest_events * kept + static_cast<double>(sample.events);
    this->window.calls += sample.calls;
    this->window.events += sample.events;
    if (this->window.calls >= window_calls) {
        if (rate(this->window) >= rate(this->highest_window)) {
            this->highest_window = this->window;
        }
        this->window = {};
    }
}

double reference_rate::recent() const {
    return std::clamp((this->recent_events + prior_events) / (this->recent_calls + prior_calls),
                      lowest_rate, highest_rate);
}

double reference_rate::highest() const {
    return std::clamp(std::max({rate(this->highest_window), this->recent(), this->latest()}),
                      lowest_rate, highest_rate);
}

double reference_rate::latest() const {
    return this->latest_calls < latest_window_calls / 2 ? 0
                                                        : this->latest_events / this->latest_calls;
}

bool reference_rate::is_disturbed() const {
    return this->latest() > disturbed_factor * this->recent() + disturbed_offset;
}

} // namespace peridot
