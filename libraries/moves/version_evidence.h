#pragma once

#include "moves/latency_buckets.h"

#include <cstdint>

namespace peridot {

/// Cumulative counts of the calls of one route to one target version. Refusals by a limit, calls
/// that were not run and retries are not counted: they say nothing of the target.
struct version_evidence {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    /// Calls that met a target with a pressure of at least call_result::high_pressure.
    std::uint64_t loaded_calls = 0;
    std::uint64_t loaded_failures = 0;
    /// Sum of the calls' pressures (0 to 100); divided by calls it is the mean load.
    std::uint64_t pressure_sum = 0;
    /// Latencies of the calls that did not fail.
    latency_buckets::counts latencies{};

    bool operator==(version_evidence const&) const = default;
};

/// Adds the counts.
version_evidence& operator+=(version_evidence& left, version_evidence const& right);

/// The growth from the earlier counts to the later ones; zero where a count went back.
version_evidence growth(version_evidence const& later, version_evidence const& earlier);

/// Whether no count of the later evidence is below the earlier one's, and the counts fit together.
bool continues(version_evidence const& later, version_evidence const& earlier);

/// Calls in the buckets from the given one upwards.
std::uint64_t calls_at_or_above(latency_buckets::counts const& latencies, std::size_t bucket);

} // namespace peridot
