#include "moves/version_evidence.h"

#include <algorithm>
#include <numeric>

namespace peridot {

namespace {

template<typename Visit>
void for_each_count_pair(version_evidence const& left, version_evidence const& right, Visit visit) {
    visit(left.calls, right.calls);
    visit(left.failures, right.failures);
    visit(left.loaded_calls, right.loaded_calls);
    visit(left.loaded_failures, right.loaded_failures);
    visit(left.pressure_sum, right.pressure_sum);
    for (std::size_t bucket = 0; bucket < latency_buckets::count; ++bucket) {
        visit(left.latencies[bucket], right.latencies[bucket]);
        visit(left.reached[bucket], right.reached[bucket]);
    }
}

// Whether each count of calls that reached a bucket includes those that were answered in it or
// above it, and those that reached the next one.
bool has_consistent_reach(version_evidence const& counts) {
    std::uint64_t answered = 0;
    std::uint64_t reached_next = 0;
    for (std::size_t bucket = latency_buckets::count; bucket-- > 0;) {
        answered += counts.latencies[bucket];
        if (counts.reached[bucket] < std::max(answered, reached_next)) {
            return false;
        }
        reached_next = counts.reached[bucket];
    }
    return true;
}

std::uint64_t positive_difference(std::uint64_t later, std::uint64_t earlier) {
    return later > earlier ? later - earlier : 0;
}

} // namespace

version_evidence& operator+=(version_evidence& left, version_evidence const& right) {
    left.calls += right.calls;
    left.failures += right.failures;
    left.loaded_calls += right.loaded_calls;
    left.loaded_failures += right.loaded_failures;
    left.pressure_sum += right.pressure_sum;
    for (std::size_t bucket = 0; bucket < latency_buckets::count; ++bucket) {
        left.latencies[bucket] += right.latencies[bucket];
        left.reached[bucket] += right.reached[bucket];
    }
    return left;
}

version_evidence count_increase(version_evidence const& later, version_evidence const& earlier) {
    version_evidence increase;
    increase.calls = positive_difference(later.calls, earlier.calls);
    increase.failures = positive_difference(later.failures, earlier.failures);
    increase.loaded_calls = positive_difference(later.loaded_calls, earlier.loaded_calls);
    increase.loaded_failures = positive_difference(later.loaded_failures, earlier.loaded_failures);
    increase.pressure_sum = positive_difference(later.pressure_sum, earlier.pressure_sum);
    for (std::size_t bucket = 0; bucket < latency_buckets::count; ++bucket) {
        increase.latencies[bucket] =
            positive_difference(later.latencies[bucket], earlier.latencies[bucket]);
        increase.reached[bucket] =
            positive_difference(later.reached[bucket], earlier.reached[bucket]);
    }
    return increase;
}

bool is_valid_successor(version_evidence const& later, version_evidence const& earlier) {
    bool is_monotonic = true;
    for_each_count_pair(later, earlier, [&is_monotonic](std::uint64_t left, std::uint64_t right) {
        is_monotonic = is_monotonic && left >= right;
    });
    return is_monotonic && has_consistent_reach(later) &&
           later.failures + calls_at_or_above(later.latencies, 0) == later.calls &&
           later.loaded_calls <= later.calls && later.loaded_failures <= later.failures &&
           later.loaded_failures <= later.loaded_calls && later.pressure_sum / 100 <= later.calls;
}

std::uint64_t calls_at_or_above(latency_buckets::counts const& latencies, std::size_t bucket) {
    return std::accumulate(latencies.begin() + static_cast<std::ptrdiff_t>(bucket), latencies.end(),
                           std::uint64_t{0});
}

event_sample slow_calls(version_evidence const& counts, std::size_t bucket) {
    auto const answered_before =
        calls_at_or_above(counts.latencies, 0) - calls_at_or_above(counts.latencies, bucket);
    return {answered_before + counts.reached[bucket], counts.reached[bucket]};
}

} // namespace peridot
