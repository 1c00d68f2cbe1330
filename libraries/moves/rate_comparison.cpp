#include "moves/rate_comparison.h"

#include "moves/e_value.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridot {

namespace {

// If the new version has more than this many calls for each old one, the old version's current rate
// is too uncertain and the baseline is used.
constexpr std::uint64_t maximum_new_per_old = 20;
// With fewer new calls, the lack of concurrent old calls may be due to chance.
constexpr std::uint64_t minimum_baseline_calls = 10;
// From this many old calls in one sample, a block uses only the old calls of that sample.
constexpr std::uint64_t minimum_dense_calls = 20;
// Upper bound that keeps products finite; far above all thresholds.
constexpr double maximum_value = 1e100;
// Below this there is no longer evidence of a fault, and the recorded samples are reset.
constexpr double restart_value = 1e-2;

} // namespace

rate_comparison::rate_comparison(rate_comparison_settings const& comparison_settings)
    : settings(comparison_settings), baseline(comparison_settings.highest_usual_rate) {}

void rate_comparison::add_reference(event_sample old_version) {
    this->baseline.observe(old_version);
    this->reference.add(old_version);
}

double rate_comparison::log_factor(event_sample old_version, event_sample new_version,
                                   double increase) const {
    if (this->baseline_used) {
        if (!this->baseline.is_usable()) {
            return 0;
        }
        double const highest = this->settings.baseline.maximum_rate(this->baseline.highest());
        return log_single_e_value(new_version, highest, highest + (1 - highest) * increase);
    }
    double const expected_old = this->reference.value();
    double const highest = this->settings.paired.maximum_rate(expected_old);
    return log_paired_e_value(old_version, new_version, expected_old,
                              highest + (1 - highest) * increase, this->settings.paired);
}

void rate_comparison::restart() {
    this->values.fill(0);
    this->unassigned_weight = 1;
    this->old_since_rise = {};
    this->new_since_rise = {};
}

void rate_comparison::observe(event_sample old_version, event_sample new_version,
                              double start_weight) {
    double const weight = std::min(start_weight, this->unassigned_weight);
    this->unassigned_weight -= weight;
    for (auto& value : this->values) {
        value += weight / static_cast<double>(this->values.size());
    }
    this->baseline.observe(old_version);
    // With many calls in one sample, the concurrent old calls are sufficient, and earlier ones may
    // have had a different rate.
    if (old_version.calls >= minimum_dense_calls || new_version.calls >= minimum_baseline_calls) {
        this->reference.add(this->old_pending.clear());
    }
    this->reference.add(this->old_pending.add(old_version));
    this->new_pending.calls += new_version.calls;
    this->new_pending.events += new_version.events;
    if (this->new_pending.calls == 0) {
        return;
    }
    // The end of a block depends only on the numbers of calls, never on their outcomes.
    bool const is_paired =
        this->old_pending.calls() * maximum_new_per_old >= this->new_pending.calls;
    if (is_paired || this->new_pending.calls >= minimum_baseline_calls) {
        this->baseline_used = !is_paired;
        bool const is_dense =
            old_version.calls >= minimum_dense_calls || new_version.calls >= minimum_baseline_calls;
        this->test(is_dense ? this->old_pending.clear()
                            : this->old_pending.take(this->new_pending.calls),
                   this->new_pending);
        this->new_pending = {};
    }
}

void rate_comparison::test(event_sample old_version, event_sample new_version) {
    for (std::size_t index = 0; new_version.calls > 0 && index < this->values.size(); ++index) {
        double const factor =
            std::exp(this->log_factor(old_version, new_version, this->settings.increases[index]));
        this->values[index] = std::min(maximum_value, this->values[index] * factor);
    }
    this->accumulate_samples(old_version, new_version);
    this->reference.add(old_version);
}

void rate_comparison::accumulate_samples(event_sample old_version, event_sample new_version) {
    double const active_value = this->e_value() - this->unassigned_weight;
    if (active_value < restart_value) {
        this->old_since_rise = {};
        this->new_since_rise = {};
        return;
    }
    this->old_since_rise.calls += old_version.calls;
    this->old_since_rise.events += old_version.events;
    this->new_since_rise.calls += new_version.calls;
    this->new_since_rise.events += new_version.events;
}

double rate_comparison::e_value() const {
    return this->unassigned_weight + std::accumulate(this->values.begin(), this->values.end(), 0.0);
}

} // namespace peridot
