#pragma once

#include "scenario.h"

#include <cstdint>
#include <optional>

namespace peridot::move_decision {

/// Which decision is run.
enum class method : std::uint8_t {
    /// The judge of libraries/moves with its reports.
    judge,
    /// Fixed ramp by time, taken back when 2 % of the new version's calls of a 10 s window fail.
    fixed_threshold,
};

/// What came of one run.
struct run_outcome {
    bool taken_back = false;
    /// Whether the move was at 100 % by the agreed time and never taken back.
    bool done_in_time = false;
    /// Calls that the new version had while its fault showed, as a part of the move's calls.
    double exposed = 0;
    /// From the moment when a judge with all counts at once would decide until no node sends calls
    /// to the new version.
    std::optional<double> seconds_to_zero;
    /// Evidence bytes that a node sent to one judge.
    double report_bytes = 0;
};

/// Runs one case with one seed.
run_outcome run(scenario const& test_case, method decision_method, std::uint64_t seed);

} // namespace peridot::move_decision
