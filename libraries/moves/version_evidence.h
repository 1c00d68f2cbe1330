#pragma once

#include "moves/event_sample.h"
#include "moves/latency_buckets.h"

#include <cstdint>

namespace peridot {

/// Cumulative counts of the calls of one route to one target version. Calls refused by a limit and
/// retries are not counted, since they are no evidence about the target.
struct version_evidence {
    /// Calls that succeeded or failed. A call that its caller abandoned did neither.
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    /// Calls to targets with a pressure of at least call_result::high_pressure.
    std::uint64_t loaded_calls = 0;
    std::uint64_t loaded_failures = 0;
    /// Sum of the calls' pressures (0 to 100); divided by the number of calls, it is the mean load.
    std::uint64_t pressure_sum = 0;
    /// Latencies of the calls that did not fail.
    latency_buckets::counts latencies{};
    /// Calls that are known to have lasted at least until the lower edge of each bucket, whether
    /// they ended, are in progress or were abandoned. The first count is that of all calls sent.
    /// Without the calls that have no answer, a version would seem quick whose slow answers nobody
    /// waits for.
    latency_buckets::counts reached{};

    bool operator==(version_evidence const&) const = default;
};

/// The number of calls sent, whether they have ended or not.
inline std::uint64_t sent_calls(version_evidence const& counts) {
    return counts.reached.front();
}

/// Adds each count of the right operand to the left.
version_evidence& operator+=(version_evidence& left, version_evidence const& right);

/// The increase from the earlier counts to the later ones; zero where a count decreased.
version_evidence count_increase(version_evidence const& later, version_evidence const& earlier);

/// Whether no count has decreased since the earlier evidence and the later counts are consistent.
bool is_valid_successor(version_evidence const& later, version_evidence const& earlier);

/// The number of calls in the given bucket and all higher ones.
std::uint64_t calls_at_or_above(latency_buckets::counts const& latencies, std::size_t bucket);

/// The calls that are known to have ended with success before the lower edge of the bucket or to
/// have lasted until then, and how many of them lasted. A call that was abandoned before the edge
/// is not among them: it does not show whether its answer would have been slow.
event_sample slow_calls(version_evidence const& counts, std::size_t bucket);

} // namespace peridot
