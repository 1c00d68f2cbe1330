#include "moves/unpaired_calls.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

// Blocks use half of the old calls that arrive for each new one, so that the queue does not become
// empty and the ratio, and with it the weight of an event, does not depend on the grouping of
// reports.
constexpr double taken_fraction = 0.5;
// Number of the new version's calls over which the ratio of the versions' calls is averaged.
constexpr double ratio_window_calls = 30;

} // namespace

event_sample unpaired_calls::add(event_sample old_version) {
    event_sample dropped;
    if (old_version.calls == 0) {
        return dropped;
    }
    this->recent_old += static_cast<double>(old_version.calls);
    this->samples.push_back(old_version);
    this->total += old_version.calls;
    while (this->total - this->samples.front().calls >= maximum_calls) {
        dropped += this->pop();
    }
    return dropped;
}

event_sample unpaired_calls::take(std::uint64_t new_calls) {
    this->recent_new += static_cast<double>(new_calls);
    double const old_per_new = std::min(maximum_old_per_new, taken_fraction * this->recent_old /
                                                                 std::max(1.0, this->recent_new));
    if (this->recent_new > ratio_window_calls) {
        this->recent_old *= ratio_window_calls / this->recent_new;
        this->recent_new = ratio_window_calls;
    }
    auto const requested_calls =
        static_cast<std::uint64_t>(std::ceil(old_per_new * static_cast<double>(new_calls)));
    event_sample taken;
    while (!this->samples.empty() && taken.calls < requested_calls) {
        taken += this->take_from_back(requested_calls - taken.calls);
    }
    return taken;
}

// A report may contain many calls. The calls to remove are selected at random, so that events are
// equally likely among the removed and the remaining calls, as the test assumes.
event_sample unpaired_calls::take_from_back(std::uint64_t requested_calls) {
    auto& last = this->samples.back();
    event_sample part = last;
    if (last.calls <= requested_calls) {
        this->samples.pop_back();
        this->total -= part.calls;
        return part;
    }
    part = {};
    for (; part.calls < requested_calls; ++part.calls) {
        std::uniform_int_distribution<std::uint64_t> call(1, last.calls);
        bool const is_event = call(this->random) <= last.events;
        part.events += is_event ? 1 : 0;
        last.events -= is_event ? 1 : 0;
        --last.calls;
    }
    this->total -= part.calls;
    return part;
}

event_sample unpaired_calls::clear() {
    event_sample all;
    while (!this->samples.empty()) {
        all += this->pop();
    }
    return all;
}

event_sample unpaired_calls::pop() {
    auto const first = this->samples.front();
    this->samples.pop_front();
    this->total -= first.calls;
    return first;
}

} // namespace peridot
