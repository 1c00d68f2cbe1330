#include "mesh/gate_queue.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>

namespace peridot {

namespace {

// Requests that wait at most; memory is bounded by it, time by the expected waits.
constexpr std::size_t longest_queue = 256;
// Weight of the newest service time in the mean of its route.
constexpr double service_time_weight = 0.1;
// A route that has not been timed yet is taken to need this part of its target latency, or the mean
// time of all routes if that is shorter. The estimate is low on purpose: one that is too high has
// the route refused under load for ever without being timed, one that is too low ends with the
// first answer.
constexpr double unknown_part_of_target = 0.1;
// A request that gets a slot within this part of its time is not refused for its route's mean time,
// since a mean that has become too high could not be corrected otherwise.
constexpr double certain_part_of_time = 0.5;
// A level of priority counts as much as this much more time until the answer loses value.
constexpr milliseconds priority_step{100};
constexpr milliseconds shortest_retry_after{50};
constexpr milliseconds longest_retry_after{2000};
// A request is given to a target whose node stops only if it ends in time even when it takes this
// many times as long as most requests of its route.
constexpr int stop_caution = 4;
// A running request is expected to need at least this part of the mean time from now on.
constexpr double least_remainder = 0.2;
// A request that has run for longer than the mean is expected to run on for this part of its time:
// a target that has slowed down, or hangs, shows in its running requests first.
constexpr double remainder_of_elapsed = 0.5;

milliseconds to_milliseconds(nanoseconds time) {
    return std::chrono::duration_cast<milliseconds>(time);
}

} // namespace

class gate_queue::implementation {
public:
    // The times that the target takes for requests of one route.
    struct service_times_of_route {
        nanoseconds mean{0};
        /// Mean distance of a time from the mean.
        nanoseconds deviation{0};
        /// Whether the mean comes from the target and not from an estimate.
        bool is_timed = false;
    };

    struct running_request {
        std::string route;
        boot_time started;
    };

    // The order in which waiting requests get slots: those that can be in time first, each group by
    // the time at which the answers lose value.
    std::pair<bool, boot_time> rank(gate_request const& request, boot_time now) const {
        bool const is_late = now + this->likely_time(request.route) > request.target_at;
        return {is_late, request.target_at + request.priority * priority_step};
    }

    static nanoseconds part_of(nanoseconds time, double part) {
        return nanoseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * part));
    }

    nanoseconds mean_time(std::string const& route) const {
        auto const found = this->service_times.find(route);
        return found == this->service_times.end() ? this->overall_time : found->second.mean;
    }

    // A time that most requests of the route keep to. With the mean alone, half of the requests
    // that wait as long as they may would be answered too late.
    nanoseconds likely_time(std::string const& route) const {
        auto const found = this->service_times.find(route);
        return found == this->service_times.end() ? this->overall_time
                                                  : found->second.mean + found->second.deviation;
    }

    // The mean time of the route, or what its running requests have taken so far if that is more: a
    // target that has just slowed down answers nothing yet that would tell.
    nanoseconds time_seen(std::string const& route, boot_time now) const {
        auto const mean = this->mean_time(route);
        nanoseconds sum{0};
        int count = 0;
        for (auto const& [id, request] : this->running) {
            if (request.route == route) {
                sum += std::max<nanoseconds>(mean, now - request.started);
                ++count;
            }
        }
        return count == 0 ? mean : sum / count;
    }

    // Begins the timing of a route that is new.
    void estimate(gate_request const& request, boot_time now) {
        auto const left = std::max(nanoseconds(0), request.target_at - now);
        service_times_of_route times;
        times.mean = part_of(left, unknown_part_of_target);
        if (this->overall_time.count() > 0) {
            times.mean = std::min(times.mean, this->overall_time);
        }
        this->service_times.emplace(request.route, times);
    }

    void learn(std::string const& route, nanoseconds taken) {
        auto const mix = [](nanoseconds mean, nanoseconds sample) {
            return mean + part_of(sample - mean, service_time_weight);
        };
        auto& times = this->service_times[route];
        if (times.is_timed) {
            times.deviation = mix(times.deviation, std::chrono::abs(taken - times.mean));
            times.mean = mix(times.mean, taken);
        } else {
            times = {taken, nanoseconds(0), true};
        }
        this->overall_time =
            this->overall_time.count() == 0 ? taken : mix(this->overall_time, taken);
    }

    // The moments at which the slots become free, as far as can be foreseen.
    using slot_times = std::priority_queue<boot_time, std::vector<boot_time>, std::greater<>>;
    slot_times free_slots(boot_time now) const {
        slot_times times;
        for (auto const& [id, request] : this->running) {
            auto const mean = this->mean_time(request.route);
            auto const elapsed = now - request.started;
            times.push(now + std::max({mean - elapsed, part_of(mean, least_remainder),
                                       part_of(elapsed, remainder_of_elapsed)}));
        }
        for (std::size_t index = this->running.size(); index < this->slots; ++index) {
            times.push(now);
        }
        return times;
    }

    // When the request would be answered; the queue's later requests do not matter for it.
    boot_time expected_start(gate_request const& request, boot_time now) const {
        auto times = this->free_slots(now);
        auto const own_rank = this->rank(request, now);
        for (auto const& waiting : this->queue) {
            if (this->rank(waiting, now) <= own_rank) {
                this->occupy_first(times, waiting);
            }
        }
        return std::max(now, times.top());
    }

    // Gives the slot that becomes free first to the request.
    void occupy_first(slot_times& times, gate_request const& request) const {
        auto const start = times.top();
        times.pop();
        times.push(start + this->mean_time(request.route));
    }

    // The time that a request must have from its start on, not to be given up by its deadline.
    nanoseconds least_time(gate_request const& request, boot_time now) const {
        return std::min(this->likely_time(request.route),
                        part_of(request.deadline - now, certain_part_of_time));
    }

    void start(gate_request const& request, boot_time now) {
        this->running.emplace(request.id, running_request{request.route, now});
    }

    static gate_refusal overloaded(nanoseconds wait) {
        return {result_code::request_overloaded,
                std::clamp(to_milliseconds(wait) / 2, shortest_retry_after, longest_retry_after)};
    }

    // Whether the request could still run when the node stops.
    bool may_outlast_stop(gate_request const& request, boot_time start) const {
        return this->stop_at &&
               start + this->likely_time(request.route) * stop_caution > *this->stop_at;
    }

    unsigned slots = 0;
    std::optional<boot_time> stop_at;
    std::vector<gate_request> queue;
    std::unordered_map<std::uint64_t, running_request> running;
    std::map<std::string, service_times_of_route, std::less<>> service_times;
    nanoseconds overall_time{0};
};

gate_queue::gate_queue() : self(std::make_unique<implementation>()) {}

gate_queue::~gate_queue() = default;

void gate_queue::set_slots(unsigned slots) {
    this->self->slots = slots;
}

void gate_queue::set_stop_time(boot_time at) {
    this->self->stop_at = at;
}

gate_decision gate_queue::offer(gate_request request, boot_time now) {
    auto& own = *this->self;
    if (own.slots == 0) {
        return gate_refusal{result_code::request_no_endpoint, shortest_retry_after};
    }
    own.estimate(request, now);
    if (now >= request.deadline) {
        return gate_refusal{result_code::request_deadline_exceeded, {}};
    }
    if (own.may_outlast_stop(request, now)) {
        return gate_refusal{result_code::request_draining, shortest_retry_after};
    }
    if (own.queue.empty() && own.running.size() < own.slots) {
        own.start(request, now);
        return gate_start{};
    }
    auto const start = own.expected_start(request, now);
    bool const is_hopeless = request.finish_by < request.deadline
                                 ? start + own.likely_time(request.route) > request.finish_by
                                 : start + own.least_time(request, now) > request.deadline;
    if (is_hopeless || own.queue.size() >= longest_queue) {
        return implementation::overloaded(start - now);
    }
    own.queue.push_back(std::move(request));
    return gate_wait{};
}

void gate_queue::finish(std::uint64_t id, ending how, boot_time now) {
    auto const found = this->self->running.find(id);
    if (found == this->self->running.end()) {
        return;
    }
    auto const& [route, started] = found->second;
    auto const taken = now - started;
    bool const is_long = how != ending::succeeded && taken > this->self->mean_time(route);
    if (how == ending::succeeded || is_long) {
        this->self->learn(route, taken);
    }
    this->self->running.erase(found);
}

void gate_queue::withdraw(std::uint64_t id) {
    std::erase_if(this->self->queue,
                  [id](gate_request const& waiting) { return waiting.id == id; });
}

gate_queue::departures gate_queue::dispatch(boot_time now) {
    auto& own = *this->self;
    if (own.slots == 0) {
        return this->refuse_all(result_code::request_no_endpoint);
    }
    departures leaving;
    std::ranges::sort(own.queue, {},
                      [&](gate_request const& waiting) { return own.rank(waiting, now); });
    auto times = own.free_slots(now);
    std::vector<gate_request> staying;
    for (auto& waiting : own.queue) {
        auto const start = times.top();
        if (own.may_outlast_stop(waiting, start)) {
            leaving.refused.emplace_back(
                waiting.id, gate_refusal{result_code::request_draining, shortest_retry_after});
            continue;
        }
        bool const is_hopeless = start + own.least_time(waiting, now) > waiting.deadline;
        if (now >= waiting.deadline || is_hopeless) {
            leaving.refused.emplace_back(waiting.id, implementation::overloaded(start - now));
            continue;
        }
        own.occupy_first(times, waiting);
        if (own.running.size() < own.slots) {
            own.start(waiting, now);
            leaving.started.push_back(waiting.id);
        } else {
            staying.push_back(std::move(waiting));
        }
    }
    own.queue = std::move(staying);
    return leaving;
}

gate_queue::departures gate_queue::refuse_all(result_code reason) {
    departures leaving;
    for (auto const& waiting : this->self->queue) {
        leaving.refused.emplace_back(waiting.id, gate_refusal{reason, shortest_retry_after});
    }
    this->self->queue.clear();
    return leaving;
}

gate_load gate_queue::load(std::string const& route, boot_time now) const {
    auto const& own = *this->self;
    gate_load current;
    current.in_use = static_cast<unsigned>(own.running.size());
    current.waiting = static_cast<unsigned>(own.queue.size());
    current.slots = own.slots;
    current.service_time = to_milliseconds(own.time_seen(route, now));
    if (own.slots > 0 && own.running.size() >= own.slots) {
        auto times = own.free_slots(now);
        for (auto const& waiting : own.queue) {
            own.occupy_first(times, waiting);
        }
        current.wait = to_milliseconds(std::max(now, times.top()) - now);
    }
    return current;
}

} // namespace peridot
