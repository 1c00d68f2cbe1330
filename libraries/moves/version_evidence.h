#pragma once

#include "moves/latency_buckets.h"

#include <cstdint>

namespace peridot {

/// Cumulative counts of the calls of one route to one target version. Calls refused by a limit,
/// calls that were not executed and retries are not counted, since they are no evidence about the
/// target.
struct version_evidence {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    /// Calls to targets with a pressure of at least call_result::high_pressure.
    std::uint64_t loaded_calls = 0;
    std::uint64_t loaded_failures = 0;
    /// Sum of the calls' pressures (0 to 100); divided by the number of calls, it is the mean load.
    std::uint64_t pressure_sum = 0;
    /// Latencies of the calls that did not fail.
    latency_buckets::counts latencies{};

    bool operator==(version_evidence const&) const = default;
};

/// Adds each count of the right operand to the left.
version_evidence& operator+=(version_evidence& left, version_evidence const& right);

/// The increase from the earlier counts to the later ones; zero where a count decreased.
version_evidence count_increase(version_evidence const& later, version_evidence const& earlier);

/// Whether no count has decreased since the earlier evidence and the later counts are consistent.
bool is_valid_successor(version_evidence const& later, version_evidence const& earlier);

/// The number of calls in the given bucket and all higher ones.
std::uint64_t calls_at_or_above(latency_buckets::counts const& latencies, std::size_t bucket);

} // namespace peridot
