#pragma once

#include "core/random_source.h"
#include "moves/event_sample.h"
#include "moves/route_evidence.h"
#include "scenario.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace peridot::move_decision {

/// Draws the calls of a test case at random. Latencies are lognormal with a median of 20 ms and a
/// sigma of 0.5; 0.1 % of the calls fail in every test case.
class traffic {
public:
    traffic(scenario const& given_case, std::uint64_t seed);

    /// Sets the conditions of the tick that begins at the given time with the given share.
    void set_conditions(double second, double share);

    /// Calls and failures of each version in one tick.
    struct drawn_calls {
        event_sample old_version;
        event_sample new_version;
    };

    /// Adds the calls of one node and tick on one route.
    drawn_calls add_calls(route_evidence& counts, int route, double calls, double share);

    /// Whether the new version's fault is active in the current tick.
    bool is_faulty() const { return this->fault_is_active; }

    /// The random source of the run, which also determines message delays.
    random_source& random() { return this->source; }

private:
    /// Latency buckets by quantile, so that drawing a call takes one random number and no
    /// logarithm.
    using quantile_table = std::array<std::uint8_t, 1024>;

    struct version_conditions {
        double failures = 0;
        double slowness = 1;
    };

    void plan_bursts();
    bool is_in_burst(double second) const;
    version_conditions shared_conditions(double second) const;
    quantile_table const& table_for(double slowness);
    event_sample draw(version_evidence& counts, std::uint64_t calls,
                      version_conditions const& conditions, double share);
    std::uint64_t poisson(double mean);

    scenario test_case;
    random_source source;
    std::vector<std::pair<double, double>> bursts;
    std::vector<std::pair<int, quantile_table>> tables;
    version_conditions old_conditions;
    version_conditions new_conditions;
    version_conditions new_conditions_with_fault;
    double first_call_at = -1;
    double current_share = 0;
    /// Callers do not wait for answers in higher latency buckets.
    std::size_t last_awaited_bucket = latency_buckets::count - 1;
    bool fault_is_active = false;
};

} // namespace peridot::move_decision
