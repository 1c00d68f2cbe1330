#include "moves/baseline_rate.h"

#include <algorithm>

namespace peridot {

namespace {

// In shorter windows, the highest rate would be dominated by random fluctuation.
constexpr std::uint64_t window_calls = 1'000;

} // namespace

baseline_rate::baseline_rate(std::optional<double> highest_usual_rate)
    : leaves_disturbance_out(highest_usual_rate.has_value())
    , disturbance(highest_usual_rate.value_or(1)) {}

// A disturbance is not noticed before there are enough calls.
bool baseline_rate::is_left_out() const {
    return this->leaves_disturbance_out &&
           (this->disturbance.is_disturbed() || !this->disturbance.has_enough_calls());
}

void baseline_rate::observe(event_sample sample) {
    this->observed_calls += sample.calls;
    this->disturbance.observe(sample);
    if (this->is_left_out()) {
        return;
    }
    this->recent.add(sample);
    this->window += sample;
    if (this->window.calls >= window_calls) {
        if (rate(this->window) >= rate(this->highest_window)) {
            this->highest_window = this->window;
        }
        this->window = {};
    }
}

double baseline_rate::highest() const {
    return recent_rate::limit(std::max(
        {rate(this->highest_window), this->recent.value(), this->disturbance.latest_rate()}));
}

} // namespace peridot
