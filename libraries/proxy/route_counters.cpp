#include "proxy/route_counters.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr std::uint8_t full_pressure = 100;

void add(std::atomic<std::uint64_t>& count, std::uint64_t amount) {
    count.fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t read(std::atomic<std::uint64_t> const& count) {
    return count.load(std::memory_order_relaxed);
}

} // namespace

void route_counters::version_counters::record(call_result const& call) {
    bool const failed = call.outcome == call_outcome::failed;
    bool const loaded = call.pressure >= call_result::high_pressure;
    bool const succeeded = call.outcome == call_outcome::succeeded;
    auto& buckets = succeeded ? this->latencies : this->unanswered;
    add(buckets[latency_buckets::index(call.latency)], 1);
    if (call.outcome == call_outcome::abandoned) {
        return;
    }
    if (failed) {
        add(this->failures, 1);
    }
    add(this->pressure_sum, std::min(call.pressure, full_pressure));
    if (loaded) {
        add(this->loaded_calls, 1);
        add(this->loaded_failures, failed ? 1 : 0);
    }
}

// A read between two additions of one call would not fit together, and judges refuse such counts.
// The sum of the calls is derived, and the others are bounded by it; both only grow.
version_evidence route_counters::version_counters::load() const {
    version_evidence counts;
    counts.failures = read(this->failures);
    counts.calls = counts.failures;
    for (std::size_t bucket = 0; bucket < latency_buckets::count; ++bucket) {
        counts.latencies[bucket] = read(this->latencies[bucket]);
        counts.calls += counts.latencies[bucket];
    }
    std::uint64_t reached = 0;
    for (std::size_t bucket = latency_buckets::count; bucket-- > 0;) {
        reached += counts.latencies[bucket] + read(this->unanswered[bucket]);
        counts.reached[bucket] = reached;
    }
    counts.loaded_calls = std::min(read(this->loaded_calls), counts.calls);
    counts.loaded_failures =
        std::min({read(this->loaded_failures), counts.failures, counts.loaded_calls});
    counts.pressure_sum = std::min(read(this->pressure_sum), counts.calls * full_pressure);
    return counts;
}

void route_counters::record(call_result const& call) {
    if (call.outcome == call_outcome::not_judged || call.attempt == call_attempt::retry) {
        return;
    }
    (call.side == target_side::new_version ? this->new_version : this->old_version).record(call);
}

route_evidence route_counters::load() const {
    return {this->old_version.load(), this->new_version.load()};
}

} // namespace peridot
