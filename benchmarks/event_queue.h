#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace peridot {

/// A queue of discrete events with a simulated clock. Events scheduled for the same time run in the
/// order in which they were added. `Time` is the time point of the clock that the model uses.
template<typename Time>
class event_queue {
public:
    Time now() const { return this->time; }

    void add(nanoseconds delay, std::function<void()> action) {
        this->events.push({this->time + delay, this->next++, std::move(action)});
    }

    /// Runs events until the queue is empty.
    void run() {
        while (!this->events.empty()) {
            auto const current = this->events.top();
            this->events.pop();
            this->time = current.at;
            current.action();
        }
    }

private:
    struct event {
        Time at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(event const& other) const {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    Time time{std::chrono::hours(1)};
    std::uint64_t next = 0;
    std::priority_queue<event> events;
};

} // namespace peridot
