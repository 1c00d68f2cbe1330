#include "mesh/gate_queue.h"

#include "mesh/abandoned_work.h"
#include "mesh/fair_order.h"
#include "mesh/fraction_of.h"
#include "mesh/pace_clock.h"
#include "mesh/request_pacer.h"
#include "mesh/route_usage.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>

namespace peridot {

namespace {

// Maximum number of queued requests. This bounds memory; the queueing time is bounded by the
// expected wait.
constexpr std::size_t queue_capacity = 256;
// Number of places beyond the capacity for requests within the reserved share, so that a frequent
// route cannot occupy all places.
constexpr std::size_t reserved_capacity = 32;
// Weight of the newest service time in the moving average of its route.
constexpr double service_time_weight = 0.1;
// Initial estimate of the service time of an unmeasured route: this fraction of its target latency,
// or the mean over all routes if that is shorter. The estimate is deliberately low. With one that
// is too high, the route would always be refused under load and never be measured; one that is too
// low is corrected by the first response.
constexpr double initial_estimate_fraction = 0.1;
// A request that gets a slot within this fraction of its time is not refused because of the mean
// service time of its route. A mean that is too high could otherwise never be corrected.
constexpr double mean_exempt_fraction = 0.5;
// Each level of priority counts as this much additional time until the soft deadline.
constexpr milliseconds priority_step{100};
constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{2000};
// A longer forecast says little.
constexpr milliseconds max_workspace_retry_after{10'000};
// Fraction of the slot time that is reserved for the routes that use least of it. Within it their
// requests go first, whatever their priority and deadlines.
constexpr double reserved_share = 0.125;
// The same for requests that are unlikely to be answered by their deadline: one of them goes first
// once the route's usage has decayed below this, so that its service time is measured again.
constexpr double trial_share = 0.002;
// A request is unlikely to be answered by its deadline if the mean service time of its route is
// above this fraction of the remaining time.
constexpr double likely_fraction = 0.8;
// While the node is stopping, a request is sent to the target only if it completes in time even
// when it takes this many times as long as most requests of its route.
constexpr int stop_safety_factor = 4;
// A running request is expected to need at least this fraction of the mean service time from now
// on.
constexpr double min_remaining_fraction = 0.2;
// A request that has run for longer than the mean is expected to run for this fraction of its
// elapsed time in addition. A target that has slowed down or hangs is first visible in its running
// requests.
constexpr double overrun_remaining_fraction = 0.5;

milliseconds to_milliseconds(nanoseconds time) {
    return std::chrono::duration_cast<milliseconds>(time);
}

} // namespace

class gate_queue::implementation {
public:
    // Service times of the target for requests of one route.
    struct route_service_times {
        nanoseconds mean{0};
        /// Mean absolute deviation from the mean.
        nanoseconds deviation{0};
        /// Whether the mean was measured and is not an estimate.
        bool is_measured = false;
    };

    struct running_request {
        std::string route;
        boot_time started;
        std::string workspace;
        /// Expected slot time at the start.
        nanoseconds slot_time{0};
        /// Work that the target had done when the request started.
        nanoseconds started_work{0};
    };

    // Rank among the queued requests: requests that can be answered by their soft deadline come
    // first, and each group is sorted by soft deadline.
    std::pair<bool, boot_time> rank(gate_request const& request, boot_time now) const {
        bool const is_late =
            now + this->conservative_service_time(request.route, now) > request.soft_deadline;
        return {is_late, request.soft_deadline + request.priority * priority_step};
    }

    // Usage of the slots including the running requests.
    route_usage current_usage(boot_time now) const {
        auto usage = this->finished_usage;
        usage.decay(now);
        for (auto const& [id, request] : this->running) {
            usage.add(request.route,
                      std::max<nanoseconds>(this->mean_service_time(request.route, now),
                                            now - request.started));
        }
        return usage;
    }

    bool is_likely_answered(gate_request const& request, boot_time now) const {
        return this->mean_service_time(request.route, now) <=
               fraction_of(request.deadline - now, likely_fraction);
    }

    // Share of the slot time within which a request goes ahead of those of other routes.
    double claimed_share(gate_request const& request, boot_time now) const {
        return this->is_likely_answered(request, now) ? reserved_share : trial_share;
    }

    struct ranked_request {
        std::pair<bool, boot_time> rank;
        /// Index in the queue.
        std::size_t position = 0;
        bool is_reserved = false;
    };

    std::vector<ranked_request> ranked_requests(boot_time now) const {
        std::vector<ranked_request> ranked;
        for (std::size_t position = 0; position < this->queue.size(); ++position) {
            ranked.push_back({this->rank(this->queue[position], now), position});
        }
        std::ranges::stable_sort(ranked, {}, &ranked_request::rank);
        return ranked;
    }

    // With requests of a single route in the queue, no share of the slot time needs to be reserved.
    bool has_several_routes() const {
        return std::ranges::any_of(this->queue, [this](gate_request const& waiting) {
            return waiting.route != this->queue.front().route;
        });
    }

    // Marks the requests within the reserved share, each on the assumption that those marked before
    // it have run.
    void mark_reserved(std::vector<ranked_request>& ranked, boot_time now) const {
        auto usage = this->current_usage(now);
        for (auto& entry : ranked) {
            auto const& request = this->queue[entry.position];
            entry.is_reserved =
                usage.is_within_share(request.route, this->claimed_share(request, now));
            if (entry.is_reserved) {
                usage.add(request.route, this->mean_service_time(request.route, now));
            }
        }
    }

    bool has_workspaces() const {
        return std::ranges::any_of(
            this->queue, [](gate_request const& waiting) { return !waiting.workspace.empty(); });
    }

    std::vector<ranked_request> order_among_workspaces(boot_time now) const {
        std::vector<fair_order::candidate> candidates;
        for (auto const& waiting : this->queue) {
            candidates.push_back({&waiting, this->rank(waiting, now),
                                  this->mean_service_time(waiting.route, now),
                                  this->is_likely_answered(waiting, now)});
        }
        std::vector<ranked_request> ordered;
        for (auto const& [position, is_owed] : this->fairness.order(candidates, now)) {
            ordered.push_back({candidates[position].rank, position, is_owed});
        }
        return ordered;
    }

    // The queued requests in the order in which they get slots. Without workspaces, those within
    // the reserved share come first, and each group is sorted by rank.
    std::vector<ranked_request> service_order(boot_time now) const {
        if (this->has_workspaces()) {
            return this->order_among_workspaces(now);
        }
        auto ranked = this->ranked_requests(now);
        if (!this->has_several_routes()) {
            return ranked;
        }
        this->mark_reserved(ranked, now);
        std::stable_partition(ranked.begin(), ranked.end(),
                              [](ranked_request const& entry) { return entry.is_reserved; });
        return ranked;
    }

    nanoseconds mean_service_time(std::string const& route, boot_time now) const {
        auto const found = this->service_times.find(route);
        return this->pace.time_for(
            found == this->service_times.end() ? this->overall_mean : found->second.mean, now);
    }

    // Time that the target would have taken at its present pace for what it has done of the
    // request. Without a pace it is the time since the start of the request.
    nanoseconds elapsed_at_pace(running_request const& request, boot_time now) const {
        return this->pace.time_for(this->pace.work_at(now) - request.started_work, now);
    }

    // Upper bound for the service time of most requests. With the mean alone, half of the requests
    // that wait for as long as possible would be answered too late.
    nanoseconds conservative_service_time(std::string const& route, boot_time now) const {
        auto const found = this->service_times.find(route);
        return this->pace.time_for(found == this->service_times.end()
                                       ? this->overall_mean
                                       : found->second.mean + found->second.deviation,
                                   now);
    }

    // Mean service time of the route, or the elapsed time of its running requests if that is
    // longer: a target that has just slowed down has not sent any slow responses yet.
    nanoseconds observed_service_time(std::string const& route, boot_time now) const {
        auto const mean = this->mean_service_time(route, now);
        nanoseconds sum{0};
        int count = 0;
        for (auto const& [id, request] : this->running) {
            if (request.route == route) {
                sum += std::max<nanoseconds>(mean, this->elapsed_at_pace(request, now));
                ++count;
            }
        }
        return count == 0 ? mean : sum / count;
    }

    // Sets the initial service time of a route that has no entry yet.
    void set_initial_estimate(gate_request const& request, boot_time now) {
        auto const remaining = std::max(nanoseconds(0), request.soft_deadline - now);
        route_service_times times;
        times.mean = this->pace.work_in(fraction_of(remaining, initial_estimate_fraction), now);
        if (this->overall_mean.count() > 0) {
            times.mean = std::min(times.mean, this->overall_mean);
        }
        this->service_times.emplace(request.route, times);
    }

    void record_service_time(std::string const& route, nanoseconds work) {
        auto const moving_average = [](nanoseconds mean, nanoseconds sample) {
            return mean + fraction_of(sample - mean, service_time_weight);
        };
        auto& times = this->service_times[route];
        if (times.is_measured) {
            times.deviation = moving_average(times.deviation, std::chrono::abs(work - times.mean));
            times.mean = moving_average(times.mean, work);
        } else {
            times = {work, nanoseconds(0), true};
        }
        this->overall_mean =
            this->overall_mean.count() == 0 ? work : moving_average(this->overall_mean, work);
    }

    // Predicted starts of the next requests: each takes the slot that becomes free first, and
    // starts once the rate limit of the target allows it.
    struct start_forecast {
        using slot_release_times =
            std::priority_queue<boot_time, std::vector<boot_time>, std::greater<>>;

        slot_release_times releases;
        request_pacer pacer;

        boot_time next_start(boot_time now) const {
            return this->pacer.earliest_start(std::max(now, this->releases.top()));
        }

        void reserve_start(boot_time at, nanoseconds service_time) {
            this->releases.pop();
            this->releases.push(at + service_time);
            this->pacer.start(at);
        }
    };
    start_forecast forecast_starts(boot_time now) const {
        start_forecast forecast;
        forecast.pacer = this->pacer;
        for (auto const& [id, request] : this->running) {
            auto const mean = this->mean_service_time(request.route, now);
            auto const elapsed = this->elapsed_at_pace(request, now);
            forecast.releases.push(
                now + std::max({mean - elapsed, fraction_of(mean, min_remaining_fraction),
                                fraction_of(elapsed, overrun_remaining_fraction)}));
        }
        for (auto const end : this->abandoned.expected_ends(now)) {
            forecast.releases.push(end);
        }
        // Not more free slots than requests that could take them, since a target may claim any
        // number.
        std::size_t const used_slots = forecast.releases.size();
        std::size_t const usable_slots =
            std::min<std::size_t>(this->slots, used_slots + this->queue.size() + 1);
        for (std::size_t index = used_slots; index < usable_slots; ++index) {
            forecast.releases.push(now);
        }
        // More slots may count as used than the target has; the first releases free none then.
        while (forecast.releases.size() > std::max(this->slots, 1U)) {
            forecast.releases.pop();
        }
        return forecast;
    }

    struct expected_service {
        boot_time start;
        bool is_reserved = false;
    };

    // Expected service of the newest request in the queue. Requests that get slots after it do not
    // affect it.
    expected_service expect_newest(boot_time now) const {
        auto forecast = this->forecast_starts(now);
        bool is_reserved = false;
        for (auto const& entry : this->service_order(now)) {
            if (entry.position + 1 == this->queue.size()) {
                is_reserved = entry.is_reserved;
                break;
            }
            forecast.reserve_start(forecast.next_start(now),
                                   this->mean_service_time(this->queue[entry.position].route, now));
        }
        return {forecast.next_start(now), is_reserved};
    }

    bool can_start(boot_time now) const {
        return this->running.size() + this->abandoned.held_slots(now) < this->slots &&
               this->pacer.earliest_start(now) <= now;
    }

    // Minimum time between the start of a request and its deadline; with less, the request is
    // refused. The exemption from the mean is relative to the time at the arrival: relative to what
    // is left, it would let requests start that have waited until there is too little time.
    nanoseconds required_time(gate_request const& request, boot_time now) const {
        return std::min(this->conservative_service_time(request.route, now),
                        fraction_of(request.deadline - request.arrived, mean_exempt_fraction));
    }

    // Whether too little time is left until the deadline if the request starts at the given time.
    bool misses_deadline(gate_request const& request, boot_time start, boot_time now) const {
        return start + this->required_time(request, now) > request.deadline;
    }

    // Whether a new request that starts at the given time would be answered after its limit.
    bool misses_limit(gate_request const& request, boot_time start, boot_time now) const {
        return request.finish_by < request.deadline
                   ? start + this->conservative_service_time(request.route, now) > request.finish_by
                   : this->misses_deadline(request, start, now);
    }

    void start(gate_request const& request, boot_time now) {
        auto const slot_time = this->mean_service_time(request.route, now);
        this->running.emplace(request.id, running_request{request.route, now, request.workspace,
                                                          slot_time, this->pace.work_at(now)});
        this->fairness.record_start(request, slot_time, now);
        this->pacer.start(now);
    }

    static gate_refusal overload_refusal(gate_request const& request, nanoseconds wait) {
        auto const expected = to_milliseconds(wait);
        // Callers that come back go before newcomers of their workspace, so they get a slot after
        // the whole wait. Without workspaces they find room again after half of it.
        auto const retry_after =
            request.workspace.empty()
                ? std::clamp(expected / 2, min_retry_after, max_retry_after)
                : std::clamp(expected, min_retry_after, max_workspace_retry_after);
        return {result_code::request_overloaded, retry_after, expected};
    }

    // Whether the request could still be running when the node stops.
    bool may_outlast_stop(gate_request const& request, boot_time start, boot_time now) const {
        return this->stop_at &&
               start + this->conservative_service_time(request.route, now) * stop_safety_factor >
                   *this->stop_at;
    }

    unsigned slots = 0;
    request_pacer pacer;
    pace_clock pace;
    std::optional<boot_time> stop_at;
    std::vector<gate_request> queue;
    std::unordered_map<std::uint64_t, running_request> running;
    abandoned_work abandoned;
    route_usage finished_usage;
    fair_order fairness;
    /// In work, which is time at the usual pace.
    std::map<std::string, route_service_times, std::less<>> service_times;
    nanoseconds overall_mean{0};
};

gate_queue::gate_queue() : self(std::make_unique<implementation>()) {}

gate_queue::~gate_queue() = default;

void gate_queue::set_slots(unsigned slots) {
    this->self->slots = slots;
}

void gate_queue::set_rate_limit(std::optional<double> requests_per_second, boot_time now) {
    this->self->pacer.set_rate(requests_per_second, now);
}

void gate_queue::set_pace(double pace, boot_time now) {
    this->self->pace.set(pace, now);
}

void gate_queue::reset_pace(boot_time now) {
    this->self->pace.reset(now);
}

void gate_queue::set_stop_time(boot_time at) {
    this->self->stop_at = at;
}

gate_decision gate_queue::offer(gate_request request, boot_time now) {
    auto& impl = *this->self;
    if (impl.slots == 0) {
        return gate_refusal{result_code::request_no_endpoint, min_retry_after};
    }
    request.arrived = now;
    impl.set_initial_estimate(request, now);
    if (now >= request.deadline) {
        return gate_refusal{result_code::request_deadline_exceeded, {}};
    }
    if (impl.may_outlast_stop(request, now, now)) {
        return gate_refusal{result_code::request_draining, min_retry_after};
    }
    impl.fairness.record_offer(request, impl.mean_service_time(request.route, now), now);
    if (impl.queue.empty() && impl.can_start(now)) {
        impl.start(request, now);
        return gate_start{};
    }
    auto const waiting = impl.queue.size();
    impl.queue.push_back(std::move(request));
    auto const [start, is_reserved] = impl.expect_newest(now);
    bool const is_full = waiting >= queue_capacity + (is_reserved ? reserved_capacity : 0);
    if (is_full || impl.misses_limit(impl.queue.back(), start, now)) {
        auto const refused = std::move(impl.queue.back());
        impl.queue.pop_back();
        impl.fairness.record_refusal(refused, now);
        return implementation::overload_refusal(refused, start - now);
    }
    return gate_wait{};
}

void gate_queue::finish(std::uint64_t id, outcome result, boot_time now) {
    auto const found = this->self->running.find(id);
    if (found == this->self->running.end()) {
        return;
    }
    auto const& [route, started, workspace, slot_time, started_work] = found->second;
    auto const elapsed = now - started;
    auto const work = this->self->pace.work_at(now) - started_work;
    bool const exceeds_mean =
        result != outcome::succeeded &&
        this->self->pace.time_for(work, now) > this->self->mean_service_time(route, now);
    if (result == outcome::succeeded || exceeds_mean) {
        this->self->record_service_time(route, work);
    }
    this->self->finished_usage.decay(now);
    this->self->finished_usage.add(route, elapsed);
    this->self->fairness.correct_slot_time(workspace, slot_time, elapsed, now);
    this->self->running.erase(found);
}

void gate_queue::abandon(std::uint64_t id, boot_time deadline, boot_time now) {
    auto const found = this->self->running.find(id);
    if (found == this->self->running.end()) {
        return;
    }
    auto const& request = found->second;
    auto const expected_end =
        std::max(request.started + this->self->conservative_service_time(request.route, now),
                 now + fraction_of(now - request.started, overrun_remaining_fraction));
    this->finish(id, outcome::unanswered, now);
    this->self->abandoned.add(std::min(expected_end, deadline), now);
}

void gate_queue::observe_target_refusal(boot_time now) {
    this->self->abandoned.observe_refusal(now);
}

void gate_queue::cancel(std::uint64_t id, boot_time now) {
    auto& impl = *this->self;
    auto const found = std::ranges::find(impl.queue, id, &gate_request::id);
    if (found != impl.queue.end()) {
        impl.fairness.withdraw_offer(*found, impl.mean_service_time(found->route, now), now);
        impl.queue.erase(found);
    }
}

gate_queue::dequeued_requests gate_queue::dispatch(boot_time now) {
    auto& impl = *this->self;
    if (impl.slots == 0) {
        return this->refuse_all(result_code::request_no_endpoint);
    }
    dequeued_requests dequeued;
    if (impl.queue.empty()) {
        return dequeued;
    }
    auto forecast = impl.forecast_starts(now);
    std::vector<gate_request> still_waiting;
    for (auto const& entry : impl.service_order(now)) {
        auto& waiting = impl.queue[entry.position];
        auto const start = forecast.next_start(now);
        if (impl.may_outlast_stop(waiting, start, now)) {
            dequeued.refused.emplace_back(
                waiting.id, gate_refusal{result_code::request_draining, min_retry_after});
            continue;
        }
        if (now >= waiting.deadline || impl.misses_deadline(waiting, start, now)) {
            impl.fairness.record_refusal(waiting, now);
            dequeued.refused.emplace_back(waiting.id,
                                          implementation::overload_refusal(waiting, start - now));
            continue;
        }
        forecast.reserve_start(start, impl.mean_service_time(waiting.route, now));
        if (impl.can_start(now)) {
            impl.start(waiting, now);
            dequeued.started.push_back(waiting.id);
        } else {
            still_waiting.push_back(std::move(waiting));
        }
    }
    impl.queue = std::move(still_waiting);
    return dequeued;
}

gate_queue::dequeued_requests gate_queue::refuse_all(result_code reason) {
    dequeued_requests dequeued;
    for (auto const& waiting : this->self->queue) {
        dequeued.refused.emplace_back(waiting.id, gate_refusal{reason, min_retry_after});
    }
    this->self->queue.clear();
    return dequeued;
}

std::size_t gate_queue::running_count() const {
    return this->self->running.size();
}

gate_load gate_queue::load(std::string const& route, boot_time now) const {
    auto const& impl = *this->self;
    gate_load current;
    current.in_use = static_cast<unsigned>(impl.running.size());
    current.waiting = static_cast<unsigned>(impl.queue.size());
    current.slots = impl.slots;
    current.pace = impl.pace.pace(now);
    current.service_time = to_milliseconds(impl.observed_service_time(route, now));
    if (impl.slots > 0 && !impl.can_start(now)) {
        auto forecast = impl.forecast_starts(now);
        for (auto const& waiting : impl.queue) {
            forecast.reserve_start(forecast.next_start(now),
                                   impl.mean_service_time(waiting.route, now));
        }
        current.expected_wait = to_milliseconds(forecast.next_start(now) - now);
    }
    return current;
}

} // namespace peridot
