#include "moves/recent_rate.h"

#include <algorithm>

namespace peridot {

namespace {

// The approximate number of calls from which the rate is derived.
constexpr double window_calls = 4'000;
// Prior for the rate before any calls: 0.2 % of events.
constexpr double prior_calls = 100;
constexpr double prior_events = 0.2;
constexpr double lowest_rate = 1e-4;
constexpr double highest_rate = 0.999;

} // namespace

void recent_rate::add(event_sample sample) {
    this->calls += static_cast<double>(sample.calls);
    this->events += static_cast<double>(sample.events);
    if (this->calls > window_calls) {
        double const scale = window_calls / this->calls;
        this->calls *= scale;
        this->events *= scale;
    }
}

double recent_rate::value() const {
    return limit((this->events + prior_events) / (this->calls + prior_calls));
}

double recent_rate::limit(double rate) {
    return std::clamp(rate, lowest_rate, highest_rate);
}

} // namespace peridot
