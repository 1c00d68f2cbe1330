#include "admission/admission_queue.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace peridot {

namespace {

/// Sort key of the queue: the most urgent request comes first.
struct urgency {
    request_class priority;
    steady_time deadline;
    std::uint64_t id;

    bool operator<(urgency const& other) const {
        return std::tie(this->priority, this->deadline, this->id) <
               std::tie(other.priority, other.deadline, other.id);
    }
};

urgency urgency_of(waiting_request const& waiting) {
    return {waiting.request.priority, waiting.request.deadline, waiting.id};
}

} // namespace

struct admission_queue::implementation {
    admission_queue_options options;
    std::map<urgency, waiting_request> waiting;
    std::map<std::uint64_t, urgency> by_id;
    /// Minimum queue delay in the current interval, and whether the previous interval had a
    /// standing queue, that is, whether its minimum queue delay exceeded the target.
    nanoseconds minimum_delay = nanoseconds::max();
    steady_time interval_end;
    bool has_standing_queue = false;

    waiting_request take(std::map<urgency, waiting_request>::iterator position);
    void observe_delay(nanoseconds delay, steady_time now);
    nanoseconds maximum_delay() const;
    std::optional<result_code> refusal_reason(waiting_request const& candidate, steady_time now,
                                              nanoseconds expected_service_time) const;
};

waiting_request
admission_queue::implementation::take(std::map<urgency, waiting_request>::iterator position) {
    this->by_id.erase(position->second.id);
    return std::move(this->waiting.extract(position).mapped());
}

void admission_queue::implementation::observe_delay(nanoseconds delay, steady_time now) {
    if (now >= this->interval_end) {
        this->has_standing_queue = this->minimum_delay != nanoseconds::max() &&
                                   this->minimum_delay > this->options.delay_target;
        this->minimum_delay = delay;
        this->interval_end = now + this->options.delay_interval;
    }
    this->minimum_delay = std::min(this->minimum_delay, delay);
}

nanoseconds admission_queue::implementation::maximum_delay() const {
    if (this->options.bound == queue_bound::deadline) {
        return nanoseconds::max();
    }
    return this->has_standing_queue ? this->options.delay_target : this->options.delay_interval;
}

std::optional<result_code>
admission_queue::implementation::refusal_reason(waiting_request const& candidate, steady_time now,
                                                nanoseconds expected_service_time) const {
    if (now + expected_service_time >= candidate.request.deadline) {
        return result_code::request_deadline_exceeded;
    }
    if (now - candidate.request.arrived > this->maximum_delay()) {
        return result_code::request_overloaded;
    }
    return std::nullopt;
}

admission_queue::admission_queue(admission_queue_options const& options)
    : self(std::make_unique<implementation>()) {
    this->self->options = options;
}

admission_queue::~admission_queue() = default;

std::optional<refused_request> admission_queue::push(waiting_request waiting) {
    if (this->self->waiting.empty()) {
        // An empty queue ends a standing queue, even if no delay has been observed since it
        // emptied.
        this->self->has_standing_queue = false;
        this->self->minimum_delay = nanoseconds::zero();
    }
    auto const order = urgency_of(waiting);
    this->self->by_id.emplace(waiting.id, order);
    this->self->waiting.emplace(order, std::move(waiting));
    if (this->self->waiting.size() <= this->self->options.capacity) {
        return std::nullopt;
    }
    return refused_request{this->self->take(std::prev(this->self->waiting.end())),
                           result_code::request_overloaded};
}

dispatch_result admission_queue::pop(steady_time now, nanoseconds expected_service_time) {
    dispatch_result result;
    while (!this->self->waiting.empty()) {
        auto candidate = this->self->take(this->self->waiting.begin());
        auto const code = this->self->refusal_reason(candidate, now, expected_service_time);
        this->self->observe_delay(now - candidate.request.arrived, now);
        if (!code) {
            result.next = std::move(candidate);
            return result;
        }
        result.refused.push_back({std::move(candidate), *code});
    }
    return result;
}

std::vector<refused_request> admission_queue::remove_expired(steady_time now) {
    std::vector<refused_request> expired;
    for (auto position = this->self->waiting.begin(); position != this->self->waiting.end();) {
        auto const current = position++;
        if (current->first.deadline <= now) {
            expired.push_back({this->self->take(current), result_code::request_deadline_exceeded});
        }
    }
    return expired;
}

std::optional<waiting_request> admission_queue::remove(std::uint64_t id) {
    auto const found = this->self->by_id.find(id);
    if (found == this->self->by_id.end()) {
        return std::nullopt;
    }
    return this->self->take(this->self->waiting.find(found->second));
}

std::size_t admission_queue::size() const {
    return this->self->waiting.size();
}

} // namespace peridot
