#include "mesh/target_selector.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace peridot {

namespace {

// An unreachable member is left alone for a time that doubles with each failure.
constexpr milliseconds first_pause{200};
constexpr milliseconds longest_pause{3000};
// A leaving member answers at once, so asking again costs little.
constexpr milliseconds leaving_pause{500};
// After a refusal for want of slots the next requests go elsewhere for this long.
constexpr milliseconds busy_pause{60};
// Members further away are preferred only to a wait that is longer by this.
constexpr milliseconds distance_penalty{400};
// A member whose answers are all failures counts as if it had this wait.
constexpr milliseconds failure_penalty{2000};
constexpr double failure_weight = 0.15;
// Up to this share of failures a member is as good as any other, so that single ones move no load.
constexpr double tolerated_failures = 0.25;
// What is known of failures counts for half after this time without a request. A member that is
// left alone would never be seen to have recovered.
constexpr std::chrono::duration<double> failure_half_life{8.0};
// Spread of the random part that keeps nodes with equal knowledge from choosing alike.
constexpr milliseconds jitter{5};

} // namespace

class target_selector::implementation {
public:
    struct member_state {
        unsigned in_flight = 0;
        gate_load load;
        boot_time load_seen;
        boot_time paused_until;
        boot_time busy_until;
        milliseconds pause{0};
        /// Share of failures among the answers, as of the time of the last one.
        double failures = 0;
        boot_time failures_seen;

        double failures_at(boot_time now) const {
            std::chrono::duration<double> const age = now - this->failures_seen;
            return this->failures * std::exp2(-age / failure_half_life);
        }
    };

    explicit implementation(std::string zone) : availability_zone(std::move(zone)) {}

    // The wait to expect: the reported one shrinks as time passes, and requests of this node that
    // have been sent since count.
    nanoseconds expected_wait(member_state const& state, unsigned slots, boot_time now) const {
        nanoseconds wait =
            std::max(nanoseconds(0), nanoseconds(state.load.wait) - (now - state.load_seen));
        if (state.in_flight > slots && slots > 0) {
            wait += state.load.service_time * (state.in_flight - slots) / slots;
        }
        return wait;
    }

    nanoseconds cost(member const& candidate, boot_time now, random_source& random) {
        auto& state = this->states[candidate.instance];
        auto cost = this->expected_wait(state, candidate.target.slots, now);
        if (candidate.availability_zone != this->availability_zone) {
            cost += distance_penalty;
        }
        auto const failures = state.failures_at(now);
        if (failures > tolerated_failures) {
            cost += nanoseconds(static_cast<std::int64_t>(
                (failures - tolerated_failures) *
                static_cast<double>(nanoseconds(failure_penalty).count())));
        }
        // Of equal members the less used one.
        cost += milliseconds(state.in_flight);
        return cost + nanoseconds(std::uniform_int_distribution<std::int64_t>(
                          0, nanoseconds(jitter).count())(random));
    }

    std::string availability_zone;
    std::unordered_map<std::string, member_state> states;
};

target_selector::target_selector(std::string availability_zone)
    : self(std::make_unique<implementation>(std::move(availability_zone))) {}

target_selector::~target_selector() = default;

std::optional<target_choice> target_selector::choose(std::vector<member const*> const& candidates,
                                                     attempts const& so_far, boot_time now,
                                                     random_source& random) {
    struct option {
        member const* candidate;
        nanoseconds cost;
        bool is_busy;
    };
    std::vector<option> options;
    member const* last_resort = nullptr;
    boot_time earliest = boot_time::max();
    for (auto const* candidate : candidates) {
        if (so_far.excluded.contains(candidate->instance)) {
            continue;
        }
        auto const& state = this->self->states[candidate->instance];
        if (state.paused_until > now) {
            if (state.paused_until < earliest) {
                earliest = state.paused_until;
                last_resort = candidate;
            }
            continue;
        }
        bool const is_busy = so_far.busy.contains(candidate->instance) || state.busy_until > now;
        options.push_back({candidate, this->self->cost(*candidate, now, random), is_busy});
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

void target_selector::observe(std::string const& instance, target_observation seen, boot_time now) {
    auto& state = this->self->states[instance];
    auto const learn = [&state, now](double failure) {
        auto const known = state.failures_at(now);
        state.failures = known + failure_weight * (failure - known);
        state.failures_seen = now;
    };
    switch (seen) {
    case target_observation::succeeded:
        learn(0);
        state.pause = milliseconds(0);
        state.paused_until = {};
        break;
    case target_observation::failed:
        learn(1);
        state.pause = milliseconds(0);
        break;
    case target_observation::busy:
        state.pause = milliseconds(0);
        state.busy_until = now + busy_pause;
        break;
    case target_observation::leaving:
        state.paused_until = now + leaving_pause;
        break;
    case target_observation::unreachable:
        state.pause = std::clamp(state.pause * 2, first_pause, longest_pause);
        state.paused_until = now + state.pause;
        break;
    }
}

void target_selector::observe_load(std::string const& instance, gate_load const& load,
                                   boot_time now) {
    auto& state = this->self->states[instance];
    state.load = load;
    state.load_seen = now;
}

} // namespace peridot
