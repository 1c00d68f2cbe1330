#pragma once

#include "moves/event_sample.h"
#include "moves/rate_comparison_settings.h"
#include "moves/reference_rate.h"
#include "moves/unpaired_calls.h"

#include <array>

namespace peridot {

/// A sequential test of one rate: an e-process that mixes over the size of the increase and over
/// the time at which it begins. While the new version is acceptable, its value reaches 1/a at any
/// time with a probability of at most a.
class rate_comparison {
public:
    explicit rate_comparison(rate_comparison_settings const& comparison_settings);

    /// Takes in the calls since the last block. The weight goes to the hypothesis that the fault
    /// begins with this block; weights add up to at most 1 over the life of the test.
    void observe(event_sample old_version, event_sample new_version, double start_weight);

    /// Learns from the old version's calls without testing.
    void add_reference(event_sample old_version) { this->reference.add(old_version); }

    /// The value of the e-process.
    double e_value() const;

    /// The calls since the value last began to rise, for the record of a take-back. Against the
    /// baseline, the old version's are those with its highest rate before.
    event_sample old_sample() const {
        return this->baseline_used ? this->reference.highest_sample() : this->old_since_rise;
    }
    event_sample new_sample() const { return this->new_since_rise; }

    /// Whether the last block was judged against the baseline from before.
    bool is_against_baseline() const { return this->baseline_used; }

private:
    void test(event_sample old_version, event_sample new_version);
    double log_factor(event_sample old_version, event_sample new_version, double increase) const;
    void accumulate_samples(event_sample old_version, event_sample new_version);

    rate_comparison_settings settings;
    reference_rate reference;
    std::array<double, rate_comparison_settings::alternative_count> values{};
    double unassigned_weight = 1;
    /// Calls that wait until their block says which comparison it is for.
    unpaired_calls old_pending;
    event_sample new_pending;
    bool baseline_used = false;
    event_sample old_since_rise;
    event_sample new_since_rise;
};

} // namespace peridot
