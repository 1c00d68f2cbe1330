#pragma once

#include "moves/event_sample.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>

namespace peridot {

/// A queue of the old version's most recent calls that are not yet assigned to a block. New calls
/// in quick succession share the preceding old calls, instead of all of them being assigned to the
/// first new call. The assignment depends only on the numbers of calls, never on their outcomes.
class unpaired_calls {
public:
    /// Approximate maximum length of the queue, after which the oldest calls are removed: the calls
    /// of a block should have the same rate.
    static constexpr std::uint64_t maximum_calls = 200;
    /// Maximum number of old calls for each new call. More of them add little evidence.
    static constexpr double maximum_old_per_new = 20;

    /// Adds a sample and returns the calls that are removed without having been assigned to a
    /// block.
    event_sample add(event_sample old_version);

    /// Removes the old calls for a block: about half of the recent number of old calls for each new
    /// call.
    event_sample take(std::uint64_t new_calls);

    /// Removes and returns all calls.
    event_sample clear();

    /// The number of calls in the queue.
    std::uint64_t calls() const { return this->total; }

private:
    event_sample pop();
    event_sample take_from_back(std::uint64_t requested_calls);

    std::deque<event_sample> samples;
    std::uint64_t total = 0;
    /// A small generator, since each test of each route has one. The fixed seed makes decisions
    /// reproducible.
    std::minstd_rand random{1};
    /// Recent numbers of calls of both versions, with exponential decay.
    double recent_old = 0;
    double recent_new = 0;
};

} // namespace peridot
