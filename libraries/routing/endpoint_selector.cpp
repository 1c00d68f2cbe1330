#include "routing/endpoint_selector.h"

#include "routing/endpoint_state.h"

#include <algorithm>
#include <map>
#include <utility>

namespace peridot {

namespace {

using state_list = std::vector<endpoint_state*>;

double draw_uniform(random_source& random) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

/// A new incarnation of a tried instance also counts as tried, because it may run on the same
/// failing machine.
bool is_tried(endpoint_state const& state,
              std::vector<endpoint_directory::member_pointer> const& tried) {
    return std::any_of(tried.begin(), tried.end(), [&](auto const& member) {
        return member->instance == state.member->instance;
    });
}

} // namespace

struct endpoint_selector::implementation {
    using key = std::pair<std::string, std::uint64_t>;

    std::string availability_zone;
    endpoint_selector_options options;
    std::map<key, endpoint_state> states;
    state_list all;
    state_list subset;

    endpoint_state* find(member_record const& endpoint);
    state_list states_of(member_list const& members);
    state_list candidates(state_list const& from, std::vector<member_pointer> const& tried,
                          steady_time now) const;
    state_list untried(std::vector<member_pointer> const& tried) const;
    state_list prefer_local_zone(state_list const& from, steady_time now,
                                 random_source& random) const;
    endpoint_state* draw_weighted(state_list const& from, endpoint_state const* excluded,
                                  steady_time now, random_source& random) const;
    endpoint_state* better_of_two(state_list const& from, steady_time now,
                                  random_source& random) const;
    bool can_eject_another() const;
};

endpoint_state* endpoint_selector::implementation::find(member_record const& endpoint) {
    auto const found = this->states.find({endpoint.instance, endpoint.incarnation});
    return found == this->states.end() ? nullptr : &found->second;
}

state_list endpoint_selector::implementation::states_of(member_list const& members) {
    state_list found;
    for (auto const& member : members) {
        if (auto* const state = this->find(*member)) {
            found.push_back(state);
        }
    }
    return found;
}

state_list endpoint_selector::implementation::candidates(state_list const& from,
                                                         std::vector<member_pointer> const& tried,
                                                         steady_time now) const {
    state_list found;
    std::copy_if(from.begin(), from.end(), std::back_inserter(found), [&](auto const* state) {
        return is_available(*state, now) && !is_tried(*state, tried);
    });
    return found;
}

state_list
endpoint_selector::implementation::untried(std::vector<member_pointer> const& tried) const {
    state_list found;
    std::copy_if(this->all.begin(), this->all.end(), std::back_inserter(found),
                 [&](auto const* state) { return !is_tried(*state, tried); });
    return found;
}

/// Restricts the candidates to the local zone, unless it has none or the call spills over. The
/// probability of spillover increases with the mean pressure of the local zone.
state_list endpoint_selector::implementation::prefer_local_zone(state_list const& from,
                                                                steady_time now,
                                                                random_source& random) const {
    state_list local;
    double pressure = 0.0;
    for (auto* const state : from) {
        if (state->member->availability_zone == this->availability_zone) {
            local.push_back(state);
            pressure += pressure_of(*state, this->options, now);
        }
    }
    if (local.empty() || local.size() == from.size()) {
        return from;
    }
    double const mean = pressure / static_cast<double>(local.size());
    double const spill = (mean - this->options.spillover_start) /
                         (this->options.spillover_end - this->options.spillover_start);
    return draw_uniform(random) < spill ? from : local;
}

endpoint_state* endpoint_selector::implementation::draw_weighted(state_list const& from,
                                                                 endpoint_state const* excluded,
                                                                 steady_time now,
                                                                 random_source& random) const {
    double total = 0.0;
    for (auto const* state : from) {
        total += state == excluded ? 0.0 : weight_of(*state, this->options, now);
    }
    double remaining = draw_uniform(random) * total;
    endpoint_state* last = from.front();
    for (auto* const state : from) {
        if (state == excluded) {
            continue;
        }
        last = state;
        remaining -= weight_of(*state, this->options, now);
        if (remaining < 0.0) {
            break;
        }
    }
    return last;
}

endpoint_state* endpoint_selector::implementation::better_of_two(state_list const& from,
                                                                 steady_time now,
                                                                 random_source& random) const {
    if (from.size() == 1) {
        return from.front();
    }
    auto* const first = this->draw_weighted(from, nullptr, now, random);
    auto* const second = this->draw_weighted(from, first, now, random);
    return cost_of(*second, this->options, now) < cost_of(*first, this->options, now) ? second
                                                                                      : first;
}

/// At most half of the endpoints, rounded down, may be ejected, so the only endpoint never is.
bool endpoint_selector::implementation::can_eject_another() const {
    auto const ejected = std::count_if(this->all.begin(), this->all.end(),
                                       [](auto const* state) { return state->is_ejected; });
    return (static_cast<std::size_t>(ejected) + 1) * 2 <= this->all.size();
}

endpoint_selector::endpoint_selector(std::string availability_zone,
                                     endpoint_selector_options const& options)
    : self(std::make_unique<implementation>()) {
    this->self->availability_zone = std::move(availability_zone);
    this->self->options = options;
}

endpoint_selector::~endpoint_selector() = default;
endpoint_selector::endpoint_selector(endpoint_selector&&) noexcept = default;
endpoint_selector& endpoint_selector::operator=(endpoint_selector&&) noexcept = default;

void endpoint_selector::update(member_list const& endpoints, member_list const& subset,
                               steady_time now) {
    std::map<implementation::key, endpoint_state> kept;
    for (auto const& member : endpoints) {
        implementation::key const key{member->instance, member->incarnation};
        auto held = this->self->states.extract(key);
        if (held.empty()) {
            endpoint_state fresh;
            fresh.ramp_start = now;
            fresh.pressure_time = now;
            fresh.last_decay = now;
            kept.emplace(key, fresh).first->second.member = member;
        } else {
            held.mapped().member = member;
            kept.insert(std::move(held));
        }
    }
    this->self->states = std::move(kept);
    this->self->all = this->self->states_of(endpoints);
    this->self->subset = this->self->states_of(subset);
}

result<endpoint_selector::member_pointer>
endpoint_selector::choose(std::vector<member_pointer> const& tried, steady_time now,
                          random_source& random) const {
    auto found = this->self->candidates(this->self->subset, tried, now);
    if (found.empty()) {
        found = this->self->candidates(this->self->all, tried, now);
    }
    if (found.empty()) {
        found = this->self->untried(tried);
    }
    if (found.empty()) {
        return error{result_code::request_no_endpoint, "no untried endpoint is available"};
    }
    found = this->self->prefer_local_zone(found, now, random);
    // An endpoint that is due for its probe takes precedence; otherwise its probe would depend on
    // being drawn at random.
    auto const probe = std::find_if(found.begin(), found.end(), [&](auto const* state) {
        return state->is_ejected && is_available(*state, now);
    });
    return probe != found.end() ? (*probe)->member
                                : this->self->better_of_two(found, now, random)->member;
}

void endpoint_selector::begin(member_record const& endpoint, steady_time now) {
    if (auto* const state = this->self->find(endpoint)) {
        ++state->in_flight;
        state->is_probe_in_flight |= state->is_ejected && now >= state->ejected_until;
    }
}

void endpoint_selector::finish(member_record const& endpoint,
                               attempt_observation const& observation, steady_time now) {
    auto* const state = this->self->find(endpoint);
    if (state == nullptr) {
        return;
    }
    state->in_flight -= state->in_flight > 0 ? 1 : 0;
    if (observation.pressure) {
        this->set_pressure(endpoint, *observation.pressure, now);
    }
    if (observation.verdict == endpoint_verdict::neutral) {
        state->is_probe_in_flight = false;
        return;
    }
    count_attempt(*state, observation.verdict, this->self->options, now);
    // Attempts that began before the ejection may end during it; they do not count as probes.
    bool const is_probe = state->is_ejected && state->is_probe_in_flight;
    if (is_probe && observation.verdict == endpoint_verdict::success) {
        end_ejection(*state, now);
    } else if (is_probe || (!state->is_ejected && is_outlier(*state, this->self->options) &&
                            this->self->can_eject_another())) {
        eject(*state, this->self->options, now);
    }
}

void endpoint_selector::set_pressure(member_record const& endpoint, unsigned pressure,
                                     steady_time now) {
    constexpr unsigned max_pressure = 100;
    if (auto* const state = this->self->find(endpoint)) {
        state->reported_pressure = std::min(pressure, max_pressure);
        state->pressure_time = now;
    }
}

std::size_t endpoint_selector::ejected_count(steady_time now) const {
    auto const ejected =
        std::count_if(this->self->all.begin(), this->self->all.end(), [&](auto const* state) {
            return state->is_ejected && now < state->ejected_until;
        });
    return static_cast<std::size_t>(ejected);
}

std::size_t endpoint_selector::in_flight(member_record const& endpoint) const {
    auto const* const state = this->self->find(endpoint);
    return state == nullptr ? 0 : state->in_flight;
}

} // namespace peridot
