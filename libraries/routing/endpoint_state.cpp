#include "routing/endpoint_state.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

double ratio(nanoseconds part, nanoseconds whole) {
    return whole.count() <= 0
               ? 1.0
               : static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

double weight_of(endpoint_state const& state, endpoint_selector_options const& options,
                 steady_time now) {
    double const progress = ratio(now - state.ramp_start, options.slow_start);
    return std::clamp(progress, options.min_weight, 1.0);
}

double pressure_of(endpoint_state const& state, endpoint_selector_options const& options,
                   steady_time now) {
    double const half_lives = ratio(now - state.pressure_time, options.pressure_half_life);
    return state.reported_pressure * std::exp2(-std::max(0.0, half_lives));
}

double cost_of(endpoint_state const& state, endpoint_selector_options const& options,
               steady_time now) {
    // An endpoint at pressure 100 costs as much as 50 calls to an idle one, so any endpoint with
    // spare capacity is preferred to it.
    constexpr double max_headroom = 1.02;
    constexpr double max_pressure = 100.0;
    double const headroom = max_headroom - pressure_of(state, options, now) / max_pressure;
    return (state.in_flight + 1.0) / (headroom * weight_of(state, options, now));
}

bool is_available(endpoint_state const& state, steady_time now) {
    return !state.is_ejected || (now >= state.ejected_until && !state.is_probe_in_flight);
}

void count_attempt(endpoint_state& state, endpoint_verdict verdict,
                   endpoint_selector_options const& options, steady_time now) {
    double const decay = std::exp(-ratio(now - state.last_decay, options.failure_window));
    state.last_decay = now;
    bool const is_failure = verdict == endpoint_verdict::failure;
    state.recent_attempts = state.recent_attempts * decay + 1.0;
    state.recent_failures = state.recent_failures * decay + (is_failure ? 1.0 : 0.0);
    state.consecutive_failures = is_failure ? state.consecutive_failures + 1 : 0;
}

bool is_outlier(endpoint_state const& state, endpoint_selector_options const& options) {
    return state.consecutive_failures >= options.consecutive_failures ||
           (state.recent_attempts >= options.min_attempts &&
            state.recent_failures >= options.failure_ratio * state.recent_attempts);
}

void eject(endpoint_state& state, endpoint_selector_options const& options, steady_time now) {
    constexpr std::uint32_t max_doublings = 16;
    auto const factor = std::int64_t{1} << std::min(state.ejections, max_doublings);
    state.ejected_until =
        now + std::min(options.base_ejection_time * factor, options.max_ejection_time);
    ++state.ejections;
    state.is_ejected = true;
    state.is_probe_in_flight = false;
}

void end_ejection(endpoint_state& state, steady_time now) {
    state.is_ejected = false;
    state.is_probe_in_flight = false;
    state.consecutive_failures = 0;
    state.recent_attempts = 0.0;
    state.recent_failures = 0.0;
    state.ramp_start = now;
}

} // namespace peridot
