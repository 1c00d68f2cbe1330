#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridot::move_decision {

/// The expected decision in a test case.
enum class expectation : std::uint8_t {
    /// The version is acceptable and the move must complete in time.
    complete,
    /// The version is bad and must be taken back.
    take_back,
    /// The version is borderline; the result is reported without a bound.
    report_only,
};

/// A test case of the catalogue: a service, its two versions and their faults.
struct scenario {
    std::string name;
    expectation expected = expectation::complete;

    double calls_per_second = 1000;
    seconds duration{400};
    seconds watch{80};
    /// Time before the start during which the old version's calls are counted.
    seconds lead{0};
    int routes = 2;

    /// Fault of the new version: additional failure ratio and latency multiplier.
    double failures = 0;
    double slowness = 1;
    /// Fraction of the ramp's duration after which the fault begins.
    double begins_at = 0;
    /// Share above which the new version is overloaded and the fault is active; 0 for always.
    double above_share = 0;
    /// Whether the fault affects only the first route.
    bool one_route = false;

    /// Faults of a dependency of both versions, in bursts of 5 to 20 s with a mean pause of 45 s.
    double dependency_failures = 0;
    double dependency_slowness = 1;
    /// From half of the duration on, both versions fail this fraction of the calls and are 1.5x
    /// slower.
    double both_failures = 0;
    /// Callers leave after this time if there is no answer; zero if they wait.
    milliseconds leaves_after{0};
    /// Whether the new version starts 4x slower, recovering over 20 s, with 2 % failures in the
    /// first 5 s.
    bool cold_start = false;
};

/// Returns all test cases.
std::vector<scenario> catalogue();

} // namespace peridot::move_decision
