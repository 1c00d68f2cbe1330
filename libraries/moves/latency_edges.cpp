#include "moves/latency_edges.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr std::array<double, route_samples::quantile_count> judged_quantiles = {0.5, 0.9, 0.97};
// A quantile of fewer calls is too uncertain to determine the edge.
constexpr std::uint64_t minimum_calls_for_quantile = 50;

std::optional<std::size_t> first_bucket_above(version_evidence const& counts, double quantile) {
    if (calls_at_or_above(counts.latencies, 0) < minimum_calls_for_quantile) {
        return std::nullopt;
    }
    auto const exceeds_fraction = [&](std::size_t bucket) {
        auto const slow = slow_calls(counts, bucket);
        return static_cast<double>(slow.events) > (1 - quantile) * static_cast<double>(slow.calls);
    };
    std::size_t bucket = 1;
    while (bucket < latency_buckets::count - 2 && exceeds_fraction(bucket)) {
        ++bucket;
    }
    return bucket;
}

event_sample failures_of(version_evidence const& counts) {
    return {counts.calls, std::min(counts.failures, counts.calls)};
}

} // namespace

route_samples latency_edges::observe(route_evidence const& increase) {
    route_samples samples;
    samples.failures = {failures_of(increase.old_version), failures_of(increase.new_version)};
    for (std::size_t index = 0; index < judged_quantiles.size(); ++index) {
        auto& bucket = this->buckets[index];
        if (!bucket) {
            // The edge is derived from earlier blocks only, since the test requires that it does
            // not depend on the current block.
            bucket = first_bucket_above(this->old_version, judged_quantiles[index]);
        }
        if (bucket) {
            samples.slow_calls[index] = {slow_calls(increase.old_version, *bucket),
                                         slow_calls(increase.new_version, *bucket + 1)};
        }
    }
    this->old_version += increase.old_version;
    return samples;
}

std::optional<microseconds> latency_edges::decision_time() const {
    auto const& highest = this->buckets.back();
    return highest ? std::optional(latency_buckets::lower_edge(*highest + 1)) : std::nullopt;
}

} // namespace peridot
