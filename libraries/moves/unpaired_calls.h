#pragma once

#include "moves/event_sample.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>

namespace peridot {

/// The old version's last calls that no block has taken yet, in the order in which they came. Two
/// new calls in quick succession then share the old ones from before instead of the first of them
/// taking all. What is given out depends on numbers of calls only, never on their outcomes.
class unpaired_calls {
public:
    /// Older calls than about this many leave the queue: a block's calls should have one rate.
    static constexpr std::uint64_t maximum_calls = 200;
    /// A new call gains little from more old calls than this.
    static constexpr double maximum_old_per_new = 20;

    /// Queues a sample; returns the calls that leave without having been in a block.
    event_sample add(event_sample old_version);

    /// Takes the old calls for a block: about half of those that come for each new one.
    event_sample take(std::uint64_t new_calls);

    /// Takes all calls.
    event_sample clear();

    /// All calls in the queue.
    std::uint64_t calls() const { return this->total; }

private:
    event_sample pop();
    event_sample take_from_front(std::uint64_t wanted);

    std::deque<event_sample> samples;
    std::uint64_t total = 0;
    /// Small, as each test of each route has one. The fixed seed makes decisions repeatable.
    std::minstd_rand random{1};
    /// Recent calls of both versions; older ones fade.
    double recent_old = 0;
    double recent_new = 0;
};

} // namespace peridot
