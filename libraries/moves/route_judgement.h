#pragma once

#include "moves/rate_comparison.h"
#include "moves/route_samples.h"
#include "moves/take_back.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace peridot {

/// The tests of one route, or of all routes together: failures, gross failures during the warm-up,
/// and the shift of latency quantiles.
class route_judgement {
public:
    enum class stage : std::uint8_t { warming_up, judging };

    route_judgement();

    /// Adds a block of evidence. See rate_comparison::observe for the start weight.
    void observe(route_samples const& block, stage now, double start_weight);

    /// Starts the tests of the judging stage anew and keeps the old version's reference rates.
    void restart();

    /// Weighted mean of the tests' e-values, which is itself an e-value.
    double e_value() const;

    /// Returns a take-back with the reason and the counts of the test with the highest weighted
    /// e-value. The time, setter and route are not set.
    take_back make_take_back() const;

    /// Whether the old version fails or is slow much more often at present than usual.
    bool is_disturbed() const;

    /// Whether the old version fails much more often at present than usual.
    bool is_failing() const { return this->failures.is_disturbed(); }

    /// Whether the failures were last compared with the baseline of earlier calls.
    bool is_against_baseline() const { return this->failures.is_against_baseline(); }

private:
    static constexpr std::size_t first_latency_test = 2;
    static constexpr std::size_t test_count = first_latency_test + route_samples::quantile_count;

    struct weighted_test {
        double weight = 0;
        rate_comparison const* test = nullptr;
    };
    std::array<weighted_test, test_count> weighted_tests() const;

    rate_comparison gross_failures;
    rate_comparison failures;
    std::array<rate_comparison, route_samples::quantile_count> quantiles;
    bool has_started = false;
};

} // namespace peridot
