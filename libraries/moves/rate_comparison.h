#pragma once

#include "moves/baseline_rate.h"
#include "moves/event_sample.h"
#include "moves/rate_comparison_settings.h"
#include "moves/recent_rate.h"
#include "moves/unpaired_calls.h"

#include <array>

namespace peridot {

/// A sequential test of one rate: an e-process that is a mixture over the size of a rate increase
/// and over the time at which it starts. If the new version is acceptable, the probability that the
/// value ever reaches 1/a is at most a.
class rate_comparison {
public:
    explicit rate_comparison(rate_comparison_settings const& comparison_settings);

    /// Adds the calls since the last block. The weight is assigned to the hypothesis that the fault
    /// starts with this block; the weights assigned over the life of the test add up to at most 1.
    void observe(event_sample old_version, event_sample new_version, double start_weight);

    /// Starts the test anew; the old version's reference rate is kept.
    void restart();

    /// Adds calls to the old version's reference rate without testing the new version.
    void add_reference(event_sample old_version);

    /// The value of the e-process.
    double e_value() const;

    /// The calls since the value last started to rise, for the record of a take-back. In a
    /// comparison with the baseline, the old version's are those of the window with its highest
    /// rate.
    event_sample old_sample() const {
        return this->baseline_used ? this->baseline.highest_sample() : this->old_since_rise;
    }
    event_sample new_sample() const { return this->new_since_rise; }

    /// Whether the old version's rate is much higher at present than usual.
    bool is_disturbed() const { return this->baseline.is_disturbed(); }

    /// Whether the last block was compared with the baseline of earlier calls.
    bool is_against_baseline() const { return this->baseline_used; }

private:
    void test(event_sample old_version, event_sample new_version);
    double log_factor(event_sample old_version, event_sample new_version, double increase) const;
    void accumulate_samples(event_sample old_version, event_sample new_version);

    rate_comparison_settings settings;
    /// The old version's rate in earlier blocks. It does not depend on the current block and may
    /// therefore be used in the block's e-value.
    recent_rate reference;
    /// Gets each call of the old version when it is reported, which may be long before its block.
    baseline_rate baseline;
    std::array<double, rate_comparison_settings::alternative_count> values{};
    double unassigned_weight = 1;
    /// Calls that are not yet assigned to a block. The kind of comparison is selected per block.
    unpaired_calls old_pending;
    event_sample new_pending;
    bool baseline_used = false;
    event_sample old_since_rise;
    event_sample new_since_rise;
};

} // namespace peridot
