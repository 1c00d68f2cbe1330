#pragma once

#include "run.h"
#include "scenario.h"

#include <string>
#include <vector>

namespace peridot::move_decision {

/// Statistics of one test case over all seeds.
struct summary {
    std::size_t runs = 0;
    double taken_back = 0;
    double done_in_time = 0;
    double median_exposed = 0;
    double worst_exposed = 0;
    double median_seconds_to_zero = 0;
    /// The 99.5 % quantile of the time, and the time of the slowest run.
    double high_seconds_to_zero = 0;
    double slowest_seconds_to_zero = 0;
    double median_report_bytes = 0;
};

/// Summarises the runs of one test case.
summary summarise(std::vector<run_outcome> const& outcomes);

/// Returns one message for each goal of the design that a test case misses.
std::vector<std::string> missed_goals(scenario const& test_case, summary const& statistics);

} // namespace peridot::move_decision
