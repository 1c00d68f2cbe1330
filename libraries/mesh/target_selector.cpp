#include "mesh/target_selector.h"

#include "mesh/decaying_failure_rate.h"
#include "mesh/load_estimate.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace peridot {

namespace {

// Backoff for an unreachable member; doubles with each failure.
constexpr milliseconds initial_pause{200};
constexpr milliseconds longest_pause{3000};
// A draining member responds immediately, so another attempt costs little.
constexpr milliseconds draining_pause{500};
// After a refusal because no slot was free, requests go to other members for this long.
constexpr milliseconds busy_pause{60};
// Members in other zones are preferred only if the wait in the local zone is longer than theirs by
// this much.
constexpr milliseconds distance_penalty{400};
// Penalty for a failure rate of one, expressed as additional wait.
constexpr milliseconds failure_penalty{2000};
// Up to this failure rate a member is treated as healthy, so that single failures do not shift
// load.
constexpr double tolerated_failure_rate = 0.25;
// This fraction of the difference to the fastest target of the zone counts as additional wait of a
// slower target. A free slot of a slow target is better than a wait at a fast one: in a burst,
// capacity that was left idle at the beginning cannot be made up for.
constexpr double slowness_weight = 0.1;
// Half-life of a target's slowness while it gets no requests. Without the decay, a target that was
// slow after its start would never be found to have become faster.
constexpr std::chrono::duration<double> slowness_half_life{8.0};
// A target with a higher utilization than this counts as slower, up to twice its service time at
// full utilization. Fast targets filled to the last slot slow down and leave no room for a burst.
constexpr double utilization_threshold = 0.6;
// Random spread that keeps nodes with the same observations from choosing the same member.
constexpr milliseconds jitter{5};
// The constants for targets that state their pace; the best of those tried in benchmarks/placement.
// Cost already contains that a fast target may be full, so speed counts for more.
constexpr double paced_slowness_weight = 0.6;
// A zone with too little capacity for its callers must not refuse while another one has free slots.
constexpr milliseconds paced_distance_penalty{80};
constexpr milliseconds paced_jitter{15};

} // namespace

class target_selector::implementation {
public:
    struct member_state {
        unsigned in_flight = 0;
        gate_load load;
        load_estimate estimate;
        boot_time load_reported_at;
        boot_time paused_until;
        boot_time busy_until;
        milliseconds pause{0};
        decaying_failure_rate failures;
        /// Service time of the target for requests of each route, and when it was reported.
        struct service_time {
            milliseconds mean{0};
            boot_time reported_at;
            /// Pace of the target at that time; 1 if it stated none.
            double pace = 1;
        };
        std::unordered_map<std::string, service_time> service_times;

        // Utilization above the threshold, scaled to the range from 0 to 1.
        double congestion() const {
            if (this->load.slots == 0) {
                return 0;
            }
            double const utilization = static_cast<double>(this->load.in_use) / this->load.slots;
            return std::clamp((utilization - utilization_threshold) / (1 - utilization_threshold),
                              0.0, 1.0);
        }
    };

    explicit implementation(std::string zone) : availability_zone(std::move(zone)) {}

    // Expected wait: the reported wait decreases as time passes, and requests that this node has
    // sent since then are added.
    nanoseconds expected_wait(member_state const& state, unsigned slots, boot_time now) const {
        nanoseconds wait = std::max(nanoseconds(0), nanoseconds(state.load.expected_wait) -
                                                        (now - state.load_reported_at));
        if (state.in_flight > slots && slots > 0) {
            wait += state.load.service_time * (state.in_flight - slots) / slots;
        }
        return wait;
    }

    bool is_local(member const& candidate) const {
        return candidate.availability_zone == this->availability_zone;
    }

    // Expected service time of a target for requests of a route.
    struct expected_time {
        nanoseconds time;
        boot_time reported_at;
    };

    // Returns no value while the service time of the target for the route is unknown.
    static std::optional<expected_time>
    find_expected_time(member_state const& state, std::string const& route, boot_time now) {
        auto const found = state.service_times.find(route);
        if (found == state.service_times.end()) {
            return std::nullopt;
        }
        std::chrono::duration<double, std::nano> const mean = found->second.mean;
        if (state.estimate.has_pace()) {
            auto const scale = found->second.pace / state.estimate.pace(now);
            auto const time = std::chrono::duration_cast<nanoseconds>(mean * scale);
            return expected_time{time, found->second.reported_at};
        }
        auto const time = std::chrono::duration_cast<nanoseconds>(mean * (1 + state.congestion()));
        return expected_time{time, found->second.reported_at};
    }

    struct candidate_state {
        member const* candidate;
        member_state const& state;
        std::optional<expected_time> expected;
        bool is_local;
    };

    // State of all candidates, and the shortest expected service times in the local zone and in the
    // other zones.
    struct candidate_evaluation {
        std::vector<candidate_state> candidates;
        nanoseconds fastest_local = nanoseconds::max();
        nanoseconds fastest_remote = nanoseconds::max();
    };

    candidate_evaluation evaluate(std::vector<member const*> const& candidates,
                                  std::string const& route, boot_time now) {
        candidate_evaluation evaluation;
        for (auto const* candidate : candidates) {
            auto const& state = this->states[candidate->instance];
            auto const expected = find_expected_time(state, route, now);
            bool const is_local = this->is_local(*candidate);
            if (expected) {
                auto& fastest = is_local ? evaluation.fastest_local : evaluation.fastest_remote;
                fastest = std::min(fastest, expected->time);
            }
            evaluation.candidates.push_back({candidate, state, expected, is_local});
        }
        return evaluation;
    }

    // By how much the target is slower than the fastest one; zero while its service time is
    // unknown.
    static nanoseconds slowness(std::optional<expected_time> const& expected, nanoseconds fastest,
                                bool has_pace, boot_time now) {
        if (!expected) {
            return nanoseconds(0);
        }
        std::chrono::duration<double> const age = now - expected->reported_at;
        std::chrono::duration<double> const excess = expected->time - fastest;
        auto const remaining = excess * std::exp2(-age / slowness_half_life);
        return std::chrono::duration_cast<nanoseconds>(
            remaining * (has_pace ? paced_slowness_weight : slowness_weight));
    }

    nanoseconds cost(member const& candidate, nanoseconds slowness, double utilization,
                     boot_time now, random_source& random) {
        auto& state = this->states[candidate.instance];
        bool const is_paced = state.estimate.has_pace();
        auto cost = slowness + (is_paced ? state.estimate.cost(state.in_flight, utilization, now)
                                         : this->expected_wait(state, candidate.target.slots, now));
        if (!this->is_local(candidate)) {
            cost += is_paced ? paced_distance_penalty : distance_penalty;
        }
        auto const failure_rate = state.failures.at(now);
        if (failure_rate > tolerated_failure_rate) {
            cost += nanoseconds(static_cast<std::int64_t>(
                (failure_rate - tolerated_failure_rate) *
                static_cast<double>(nanoseconds(failure_penalty).count())));
        }
        // Breaks ties in favor of the member with fewer requests in flight.
        cost += milliseconds(state.in_flight);
        return cost + nanoseconds(std::uniform_int_distribution<std::int64_t>(
                          0, nanoseconds(is_paced ? paced_jitter : jitter).count())(random));
    }

    // Utilization of the members that state a pace, by their last reports.
    static double usual_utilization(candidate_evaluation const& evaluation) {
        double sum = 0;
        unsigned count = 0;
        for (auto const& entry : evaluation.candidates) {
            if (entry.state.estimate.has_pace()) {
                sum += entry.state.estimate.reported_utilization();
                ++count;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    std::string availability_zone;
    std::unordered_map<std::string, member_state> states;
};

target_selector::target_selector(std::string availability_zone)
    : self(std::make_unique<implementation>(std::move(availability_zone))) {}

target_selector::~target_selector() = default;

std::optional<target_choice> target_selector::choose(std::vector<member const*> const& candidates,
                                                     std::string const& route,
                                                     attempt_history const& history, boot_time now,
                                                     random_source& random) {
    auto& impl = *this->self;
    auto const evaluation = impl.evaluate(candidates, route, now);
    double const utilization = implementation::usual_utilization(evaluation);
    struct option {
        member const* candidate;
        nanoseconds cost;
        bool is_busy;
    };
    std::vector<option> options;
    member const* last_resort = nullptr;
    boot_time earliest_resume = boot_time::max();
    for (auto const& [candidate, state, expected, is_local] : evaluation.candidates) {
        if (history.excluded.contains(candidate->instance)) {
            continue;
        }
        if (state.paused_until > now) {
            if (state.paused_until < earliest_resume) {
                earliest_resume = state.paused_until;
                last_resort = candidate;
            }
            continue;
        }
        bool const is_busy = history.busy.contains(candidate->instance) || state.busy_until > now;
        // Service times are compared only within the local zone or among the other zones, so that
        // speed alone never moves requests to another zone.
        auto const fastest = is_local ? evaluation.fastest_local : evaluation.fastest_remote;
        auto const slowness =
            implementation::slowness(expected, fastest, state.estimate.has_pace(), now);
        options.push_back(
            {candidate, impl.cost(*candidate, slowness, utilization, now, random), is_busy});
    }
    std::ranges::sort(options, {}, &option::cost);
    for (auto const& [candidate, cost, is_busy] : options) {
        if (!is_busy) {
            return target_choice{candidate, wait_limit::target_latency};
        }
    }
    if (!options.empty()) {
        return target_choice{options.front().candidate, wait_limit::deadline};
    }
    if (last_resort != nullptr) {
        return target_choice{last_resort, wait_limit::deadline};
    }
    return std::nullopt;
}

void target_selector::start(std::string const& instance) {
    ++this->self->states[instance].in_flight;
}

void target_selector::finish(std::string const& instance) {
    --this->self->states[instance].in_flight;
}

void target_selector::observe(std::string const& instance, target_observation observation,
                              boot_time now) {
    auto& state = this->self->states[instance];
    switch (observation) {
    case target_observation::succeeded:
        state.failures.observe(decaying_failure_rate::outcome::succeeded, now);
        state.pause = milliseconds(0);
        state.paused_until = {};
        break;
    case target_observation::failed:
        state.failures.observe(decaying_failure_rate::outcome::failed, now);
        state.pause = milliseconds(0);
        break;
    case target_observation::busy:
        state.pause = milliseconds(0);
        state.busy_until = now + busy_pause;
        break;
    case target_observation::draining:
        state.paused_until = now + draining_pause;
        break;
    case target_observation::unreachable:
        state.pause = std::clamp(state.pause * 2, initial_pause, longest_pause);
        state.paused_until = now + state.pause;
        break;
    }
}

void target_selector::observe_load(std::string const& instance, std::string const& route,
                                   gate_load const& load, boot_time now) {
    auto& state = this->self->states[instance];
    state.load = load;
    state.estimate.observe(load, state.in_flight, now);
    state.load_reported_at = now;
    state.failures.set(load.failure_rate, now);
    if (load.service_time.count() > 0) {
        state.service_times[route] = {load.service_time, now, load.pace.value_or(1)};
    }
}

void target_selector::observe_unanswered(std::string const& instance, std::string const& route,
                                         milliseconds waited, boot_time now) {
    auto& state = this->self->states[instance];
    auto& times = state.service_times[route];
    times = {std::max(times.mean, waited), now, state.estimate.pace(now)};
}

} // namespace peridot
