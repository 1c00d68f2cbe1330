#pragma once

#include "moves/rate_comparison.h"
#include "moves/route_evidence.h"
#include "moves/take_back.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace peridot {

/// The tests of one route, or of all routes together: failures, gross failures during the warm-up,
/// and the shift of two latency quantiles.
class route_judgement {
public:
    enum class stage : std::uint8_t { warming_up, judging };

    route_judgement();

    /// Adds the increase of the evidence. See rate_comparison::observe for the start weight.
    void observe(route_evidence const& increase, stage now, double start_weight);

    /// Weighted mean of the tests' e-values, which is itself an e-value.
    double e_value() const;

    /// Returns a take-back with the reason and the counts of the test with the highest weighted
    /// e-value. The time, setter and route are not set.
    take_back make_take_back() const;

    /// Whether the failures were last compared with the baseline of earlier calls.
    bool is_against_baseline() const { return this->failures.is_against_baseline(); }

private:
    struct quantile_comparison {
        double quantile = 0;
        rate_comparison comparison;
        /// First bucket above the old version's quantile; fixed after a sufficient number of calls.
        std::optional<std::size_t> bucket;
    };

    void observe_quantile(quantile_comparison& quantile, route_evidence const& increase, stage now,
                          double start_weight) const;

    rate_comparison gross_failures;
    rate_comparison failures;
    std::array<quantile_comparison, 2> quantiles;
    latency_buckets::counts old_latencies{};
    bool has_started = false;
};

} // namespace peridot
