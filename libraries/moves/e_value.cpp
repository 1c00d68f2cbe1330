#include "moves/e_value.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

double log_likelihood_ratio(event_sample sample, double expected, double null_rate) {
    auto const events = static_cast<double>(sample.events);
    auto const others = static_cast<double>(sample.calls - sample.events);
    return events * std::log(expected / null_rate) +
           others * std::log((1 - expected) / (1 - null_rate));
}

// Derivative of the expected log-likelihood p log q + (1 - p) log(1 - q) with respect to q.
double slope(double expected, double null_rate) {
    return (expected - null_rate) / (null_rate * (1 - null_rate));
}

// Returns the old rate under the null hypothesis that is nearest to the expected rates. The slope
// of the joint likelihood decreases with the rate, so bisection finds its only root.
double nearest_old_rate(double old_calls, double new_calls, double expected_old,
                        double expected_new, rate_tolerance tolerance) {
    if (tolerance.ratio == 1 && tolerance.offset == 0) {
        return (old_calls * expected_old + new_calls * expected_new) / (old_calls + new_calls);
    }
    constexpr int iterations = 24;
    double low = expected_old;
    double high = (expected_new - tolerance.offset) / tolerance.ratio;
    for (int iteration = 0; iteration < iterations; ++iteration) {
        double const middle = (low + high) / 2;
        double const new_rate = tolerance.ratio * middle + tolerance.offset;
        double const joint_slope = old_calls * slope(expected_old, middle) +
                                   new_calls * tolerance.ratio * slope(expected_new, new_rate);
        (joint_slope > 0 ? low : high) = middle;
    }
    return (low + high) / 2;
}

} // namespace

double log_paired_e_value(event_sample old_version, event_sample new_version, double expected_old,
                          double expected_new, rate_tolerance tolerance) {
    if (old_version.calls == 0 || new_version.calls == 0 ||
        expected_new <= tolerance.maximum_rate(expected_old)) {
        return 0;
    }
    double const old_rate = nearest_old_rate(static_cast<double>(old_version.calls),
                                             static_cast<double>(new_version.calls), expected_old,
                                             expected_new, tolerance);
    return log_likelihood_ratio(old_version, expected_old, old_rate) +
           log_likelihood_ratio(new_version, expected_new, tolerance.maximum_rate(old_rate));
}

double log_single_e_value(event_sample new_version, double highest_rate, double expected_new) {
    if (new_version.calls == 0 || expected_new <= highest_rate) {
        return 0;
    }
    return log_likelihood_ratio(new_version, expected_new, highest_rate);
}

} // namespace peridot
