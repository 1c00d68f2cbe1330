#include "moves/route_judgement.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

// A service that fails more often than this is in a disturbance, also if it never did otherwise.
constexpr double highest_usual_failure_rate = 0.02;
// The tolerance for normal differences between versions: half a percentage point plus half of the
// old version's rate.
constexpr rate_comparison_settings failure_settings = {
    {1.5, 0.005}, {2, 0.01}, {0.02, 0.05, 0.15, 0.45, 0.9}, highest_usual_failure_rate};
// During the warm-up, only failure rates that a cold start cannot explain are considered.
constexpr rate_comparison_settings gross_settings = {
    {3, 0.1}, {3, 0.1}, {0.05, 0.1, 0.3, 0.6, 0.85}};
// The latency tolerance is the one bucket by which the edges of the two versions differ. The
// tolerance of the baseline also covers changes in the load.
constexpr rate_comparison_settings latency_settings = {
    {1, 0}, {1.2, 0.05}, {0.05, 0.1, 0.2, 0.4, 0.8}};

constexpr double gross_weight = 0.1;
constexpr double failure_weight = 0.5;
constexpr std::array<double, route_samples::quantile_count> quantile_weights = {0.2, 0.1, 0.1};
// Half of the weight is assigned to faults that are present from the first judged call.
constexpr double initial_weight = 0.5;

} // namespace

route_judgement::route_judgement()
    : gross_failures(gross_settings)
    , failures(failure_settings)
    , quantiles{rate_comparison(latency_settings), rate_comparison(latency_settings),
                rate_comparison(latency_settings)} {}

void route_judgement::observe(route_samples const& block, stage now, double start_weight) {
    if (now == stage::warming_up) {
        this->gross_failures.observe(block.failures.old_version, block.failures.new_version, 1);
        this->failures.add_reference(block.failures.old_version);
        for (std::size_t index = 0; index < this->quantiles.size(); ++index) {
            this->quantiles[index].add_reference(block.slow_calls[index].old_version);
        }
        return;
    }
    double const weight =
        start_weight + (std::exchange(this->has_started, true) ? 0 : initial_weight);
    this->failures.observe(block.failures.old_version, block.failures.new_version, weight);
    for (std::size_t index = 0; index < this->quantiles.size(); ++index) {
        auto const& slow = block.slow_calls[index];
        this->quantiles[index].observe(slow.old_version, slow.new_version, weight);
    }
}

void route_judgement::restart() {
    this->has_started = false;
    this->failures.restart();
    for (auto& quantile : this->quantiles) {
        quantile.restart();
    }
}

double route_judgement::e_value() const {
    double sum = 0;
    for (auto const& [weight, test] : this->weighted_tests()) {
        sum += weight * test->e_value();
    }
    return sum;
}

std::array<route_judgement::weighted_test, route_judgement::test_count>
route_judgement::weighted_tests() const {
    std::array<weighted_test, test_count> tests;
    tests[0] = {gross_weight, &this->gross_failures};
    tests[1] = {failure_weight, &this->failures};
    for (std::size_t index = 0; index < this->quantiles.size(); ++index) {
        tests[first_latency_test + index] = {quantile_weights[index], &this->quantiles[index]};
    }
    return tests;
}

bool route_judgement::is_disturbed() const {
    return this->failures.is_disturbed() ||
           std::ranges::any_of(this->quantiles, [](rate_comparison const& quantile) {
               return quantile.is_disturbed();
           });
}

take_back route_judgement::make_take_back() const {
    auto const tests = this->weighted_tests();
    auto const strongest =
        std::max_element(tests.begin(), tests.end(), [](auto const& left, auto const& right) {
            return left.weight * left.test->e_value() < right.weight * right.test->e_value();
        });
    auto const& test = *strongest->test;
    bool const is_slow = strongest >= tests.begin() + first_latency_test;
    take_back decision;
    if (test.is_against_baseline()) {
        decision.reason = is_slow ? take_back_reason::slow_against_baseline
                                  : take_back_reason::failures_against_baseline;
    } else {
        decision.reason = is_slow ? take_back_reason::slow : take_back_reason::failures;
    }
    decision.old_calls = test.old_sample().calls;
    decision.old_events = test.old_sample().events;
    decision.new_calls = test.new_sample().calls;
    decision.new_events = test.new_sample().events;
    return decision;
}

} // namespace peridot
