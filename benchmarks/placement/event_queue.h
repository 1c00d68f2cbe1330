#pragma once

#include "core/boot_clock.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace peridot::placement {

/// A queue of discrete events with a simulated clock. Events scheduled for the same time run in the
/// order in which they were added.
class event_queue {
public:
    boot_time now() const { return this->time; }

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
        boot_time at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(event const& other) const {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    boot_time time{std::chrono::hours(1)};
    std::uint64_t next = 0;
    std::priority_queue<event> events;
};

} // namespace peridot::placement
