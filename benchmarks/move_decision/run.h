#pragma once

#include "scenario.h"

#include <cstdint>
#include <optional>

namespace peridot::move_decision {

/// The decision method of a run.
enum class method : std::uint8_t {
    /// The judge of libraries/moves, based on evidence reports.
    judge,
    /// A ramp that follows the time only. The move is taken back when more than 2 % of the new
    /// version's calls in a 10 s window fail.
    fixed_threshold,
};

/// The outcome of one run.
struct run_outcome {
    bool taken_back = false;
    /// Whether the move reached 100 % by the agreed time and was not taken back.
    bool done_in_time = false;
    /// Calls to the new version while its fault was active, as a fraction of the move's calls.
    double exposed = 0;
    /// Time from when a judge with immediate access to all counts would decide until no node sends
    /// calls to the new version.
    std::optional<double> seconds_to_zero;
    /// Mean evidence bytes that a node sent to one judge.
    double report_bytes = 0;
};

/// Runs one test case with one seed.
run_outcome run(scenario const& test_case, method decision_method, std::uint64_t seed);

} // namespace peridot::move_decision
