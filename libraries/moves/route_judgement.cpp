#include "moves/route_judgement.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

// The tolerance for normal differences between versions: half a percentage point plus half of the
// old version's rate.
constexpr rate_comparison_settings failure_settings = {
    {1.5, 0.005}, {2, 0.01}, {0.02, 0.05, 0.15, 0.45, 0.9}};
// During the warm-up, only failure rates that a cold start cannot explain are considered.
constexpr rate_comparison_settings gross_settings = {
    {3, 0.1}, {3, 0.1}, {0.05, 0.1, 0.3, 0.6, 0.85}};
// The latency tolerance is the one bucket by which the edges of the two versions differ. The
// tolerance of the baseline also covers changes in the load.
constexpr rate_comparison_settings latency_settings = {
    {1, 0}, {1.2, 0.05}, {0.05, 0.1, 0.2, 0.4, 0.8}};

constexpr double gross_weight = 0.1;
constexpr double failure_weight = 0.5;
constexpr std::array<double, 2> quantile_weights = {0.25, 0.15};
constexpr std::array<double, 2> judged_quantiles = {0.5, 0.9};
// A quantile of fewer calls is too uncertain to determine the edge.
constexpr std::uint64_t minimum_calls_for_quantile = 50;
// Half of the weight is assigned to faults that are present from the first judged call.
constexpr double initial_weight = 0.5;

event_sample failures_of(version_evidence const& counts) {
    return {counts.calls, std::min(counts.failures, counts.calls)};
}

std::optional<std::size_t> first_bucket_above(latency_buckets::counts const& latencies,
                                              double quantile) {
    auto const calls = calls_at_or_above(latencies, 0);
    if (calls < minimum_calls_for_quantile) {
        return std::nullopt;
    }
    std::size_t bucket = 1;
    while (bucket < latency_buckets::count - 2 &&
           static_cast<double>(calls_at_or_above(latencies, bucket)) >
               (1 - quantile) * static_cast<double>(calls)) {
        ++bucket;
    }
    return bucket;
}

} // namespace

route_judgement::route_judgement()
    : gross_failures(gross_settings)
    , failures(failure_settings)
    , quantiles{quantile_comparison{judged_quantiles[0], rate_comparison(latency_settings), {}},
                quantile_comparison{judged_quantiles[1], rate_comparison(latency_settings), {}}} {}

void route_judgement::observe(route_evidence const& increase, stage now, double start_weight) {
    auto const old_failures = failures_of(increase.old_version);
    auto const new_failures = failures_of(increase.new_version);
    double weight = start_weight;
    if (now == stage::warming_up) {
        this->gross_failures.observe(old_failures, new_failures, 1);
        this->failures.add_reference(old_failures);
    } else {
        weight += std::exchange(this->has_started, true) ? 0 : initial_weight;
        this->failures.observe(old_failures, new_failures, weight);
    }
    for (auto& quantile : this->quantiles) {
        this->observe_quantile(quantile, increase, now, weight);
    }
    for (std::size_t bucket = 0; bucket < latency_buckets::count; ++bucket) {
        this->old_latencies[bucket] += increase.old_version.latencies[bucket];
    }
}

void route_judgement::observe_quantile(quantile_comparison& quantile,
                                       route_evidence const& increase, stage now,
                                       double start_weight) const {
    if (!quantile.bucket) {
        // The edge is derived from earlier blocks only, since the test requires that it does not
        // depend on the current block.
        quantile.bucket = first_bucket_above(this->old_latencies, quantile.quantile);
    }
    if (!quantile.bucket) {
        return;
    }
    auto const old_slow = slow_calls(increase.old_version, *quantile.bucket);
    if (now == stage::warming_up) {
        quantile.comparison.add_reference(old_slow);
        return;
    }
    quantile.comparison.observe(old_slow, slow_calls(increase.new_version, *quantile.bucket + 1),
                                start_weight);
}

double route_judgement::e_value() const {
    return gross_weight * this->gross_failures.e_value() +
           failure_weight * this->failures.e_value() +
           quantile_weights[0] * this->quantiles[0].comparison.e_value() +
           quantile_weights[1] * this->quantiles[1].comparison.e_value();
}

take_back route_judgement::make_take_back() const {
    std::array<std::pair<double, rate_comparison const*>, 4> const tests = {
        {{gross_weight, &this->gross_failures},
         {failure_weight, &this->failures},
         {quantile_weights[0], &this->quantiles[0].comparison},
         {quantile_weights[1], &this->quantiles[1].comparison}}};
    auto const strongest =
        std::max_element(tests.begin(), tests.end(), [](auto const& left, auto const& right) {
            return left.first * left.second->e_value() < right.first * right.second->e_value();
        });
    auto const& test = *strongest->second;
    bool const is_slow = strongest - tests.begin() >= 2;
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
