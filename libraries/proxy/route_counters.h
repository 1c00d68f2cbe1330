#pragma once

#include "moves/call_result.h"
#include "moves/route_evidence.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace peridot {

/// One route's counts of calls to both versions of a move. The workers add, the control thread
/// reads; no lock is taken.
class route_counters {
public:
    /// Counts a call, unless it is a retry or says nothing of the target.
    void record(call_result const& call);

    /// The counts so far. Each read continues the one before, also while workers add.
    route_evidence load() const;

private:
    struct version_counters {
        std::atomic<std::uint64_t> failures{0};
        std::atomic<std::uint64_t> loaded_calls{0};
        std::atomic<std::uint64_t> loaded_failures{0};
        std::atomic<std::uint64_t> pressure_sum{0};
        std::array<std::atomic<std::uint64_t>, latency_buckets::count> latencies{};
        /// Calls without a latency, by the bucket that they reached: abandoned or failed.
        std::array<std::atomic<std::uint64_t>, latency_buckets::count> unanswered{};

        void record(call_result const& call);
        version_evidence load() const;
    };

    version_counters old_version;
    version_counters new_version;
};

} // namespace peridot
