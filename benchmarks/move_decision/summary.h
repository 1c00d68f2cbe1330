#pragma once

#include "run.h"
#include "scenario.h"

#include <string>
#include <vector>

namespace peridot::move_decision {

/// The figures of one case over all seeds.
struct summary {
    std::size_t runs = 0;
    double taken_back = 0;
    double done_in_time = 0;
    double median_exposed = 0;
    double worst_exposed = 0;
    double median_seconds_to_zero = 0;
    /// Time that 99.5 % of the runs keep, and the slowest run's.
    double high_seconds_to_zero = 0;
    double slowest_seconds_to_zero = 0;
    double median_report_bytes = 0;
};

/// Sums the runs of one case up.
summary summarise(std::vector<run_outcome> const& outcomes);

/// The design's goals that the figures of a case miss, one sentence each.
std::vector<std::string> missed_goals(scenario const& test_case, summary const& statistics);

} // namespace peridot::move_decision
