#include "moves/judge.h"

#include "moves/latency_edges.h"
#include "moves/route_judgement.h"
#include "moves/settled_calls.h"
#include "moves/step_schedule.h"

#include <algorithm>
#include <map>
#include <optional>

namespace peridot {

namespace {

// Half of the false-alarm rate is assigned to all routes together, half is divided among the
// routes.
constexpr double pooled_weight = 0.5;
// Half of each test's start weight is spread over the duration of the move.
constexpr double spread_weight = 0.5;
// Slow answers lengthen a step to at most this part of the move, so that all steps fit into it.
constexpr int maximum_step_divisor = 8;

} // namespace

struct judge::implementation {
    move_plan plan;
    std::string instance;
    std::size_t route_count = 1;
    judge_settings settings;

    evidence_by_route observed;
    std::map<std::string, latency_edges, std::less<>> edges;
    settled_calls new_calls;
    route_judgement all_routes;
    std::map<std::string, route_judgement, std::less<>> route_judgements;
    std::optional<wall_time> first_new_call_time;
    std::optional<wall_time> last_block_time;
    bool is_warming_up = true;
    std::optional<take_back> decision;

    std::uint32_t step = 0;
    std::optional<wall_time> step_start;
    std::uint64_t new_calls_before_step = 0;
    std::uint64_t settled_new_calls = 0;
    bool is_step_judged = false;

    double threshold() const { return 1 / this->settings.false_alarm_rate; }

    double route_weight() const {
        return (1 - pooled_weight) / static_cast<double>(this->route_count);
    }

    double e_value() const {
        double sum = pooled_weight * this->all_routes.e_value();
        for (auto const& [route, judgement] : this->route_judgements) {
            sum += this->route_weight() * judgement.e_value();
        }
        return sum;
    }

    seconds warm_up_time() const {
        auto const part =
            std::chrono::duration_cast<seconds>(this->plan.done_by - this->plan.start) /
            this->settings.warm_up_divisor;
        return std::min(this->settings.warm_up, part);
    }

    void update_warm_up(wall_time now) {
        if (!this->first_new_call_time && sent_calls(pooled(this->observed).new_version) > 0) {
            this->first_new_call_time = now;
        }
        this->is_warming_up =
            !this->first_new_call_time || now < *this->first_new_call_time + this->warm_up_time();
    }

    double start_weight(wall_time now) {
        auto const move_duration = this->plan.done_by + this->plan.watch - this->plan.start;
        auto const elapsed = now - this->last_block_time.value_or(now);
        this->last_block_time = std::max(now, this->last_block_time.value_or(now));
        return std::max(0.0, spread_weight * std::chrono::duration<double>(elapsed) /
                                 std::chrono::duration<double>(move_duration));
    }

    route_judgement* find_or_create_judgement(std::string const& route) {
        auto const found = this->route_judgements.find(route);
        if (found != this->route_judgements.end()) {
            return &found->second;
        }
        // Routes beyond the given number would exceed the false-alarm rate.
        return this->route_judgements.size() < this->route_count ? &this->route_judgements[route]
                                                                 : nullptr;
    }

    void observe(wall_time now, evidence_by_route const& totals) {
        if (totals == this->observed) {
            return;
        }
        evidence_by_route increases;
        for (auto const& [route, counts] : totals) {
            auto& previous = this->observed[route];
            increases[route] = {count_increase(counts.old_version, previous.old_version),
                                count_increase(counts.new_version, previous.new_version)};
            previous = counts;
        }
        this->update_warm_up(now);
        auto const stage = this->is_warming_up ? route_judgement::stage::warming_up
                                               : route_judgement::stage::judging;
        double const weight = this->start_weight(now);
        route_samples block;
        for (auto const& [route, counts] : increases) {
            auto const samples = this->edges[route].observe(counts);
            block += samples;
            if (auto* judgement = this->find_or_create_judgement(route); judgement != nullptr) {
                judgement->observe(samples, stage, weight);
            }
        }
        this->all_routes.observe(block, stage, weight);
    }

    take_back make_take_back(wall_time now) const {
        auto decided = this->all_routes.make_take_back();
        double highest = pooled_weight * this->all_routes.e_value();
        for (auto const& [route, judgement] : this->route_judgements) {
            double const value = this->route_weight() * judgement.e_value();
            if (value > highest) {
                highest = value;
                decided = judgement.make_take_back();
                decided.route = route_fingerprint(route);
            }
        }
        decided.at_since_epoch = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
        decided.setter = this->instance.substr(0, take_back::maximum_setter_length);
        return decided;
    }

    void update_step(wall_time now, move_state const& state) {
        if (!this->step_start || state.gate != this->step) {
            this->step = state.gate;
            this->step_start = now;
            this->new_calls_before_step = sent_calls(pooled(this->observed).new_version);
        }
    }

    // Time after which it is known of nearly each call to the new version whether it is slow.
    microseconds decision_time() const {
        microseconds longest{0};
        for (auto const& [route, route_edges] : this->edges) {
            longest = std::max(longest, route_edges.decision_time().value_or(microseconds(0)));
        }
        return longest;
    }

    void update_settled_calls(wall_time now) {
        this->new_calls.add(now, sent_calls(pooled(this->observed).new_version));
        this->settled_new_calls = this->new_calls.count(now - this->decision_time());
    }

    // The minimum duration of a step. The calls that it sends have to be judged before the next
    // one, and a slow answer may take longer than the setting.
    wall_time::duration minimum_step_time() const {
        auto const longest = (this->plan.done_by - this->plan.start) / maximum_step_divisor;
        auto const needed = std::min<wall_time::duration>(this->decision_time(), longest);
        return std::max<wall_time::duration>(this->settings.minimum_step_time, needed);
    }

    // Counts the calls whose outcome has become known, whatever it is. Calls that have ended would
    // be mostly the quick ones.
    bool has_enough_evidence(wall_time now) const {
        return !this->is_warming_up &&
               this->settled_new_calls >=
                   this->new_calls_before_step + this->settings.minimum_calls_per_step &&
               now >= *this->step_start + this->minimum_step_time();
    }

    bool has_sent_step_calls() const {
        return sent_calls(pooled(this->observed).new_version) >=
               this->new_calls_before_step + this->settings.minimum_calls_per_step;
    }

    bool is_last_step(move_state const& state) const {
        return std::size_t{state.gate} + 1 >= this->plan.ramp.size();
    }

    // A move that is late or paused is judged for as long as both versions get requests.
    bool has_ended(wall_time now, move_state const& state) const {
        return this->settings.ends_after_watch && this->is_last_step(state) &&
               now > this->plan.done_by + this->plan.watch;
    }

    // Whether the next step may be taken without enough evidence. The steps of a late move are at
    // least the minimum time apart, so that a bad version does not get all requests at once.
    bool is_overdue(wall_time now, std::size_t next) const {
        bool const has_min_time = now >= *this->step_start + this->minimum_step_time();
        return now >= this->latest_time(next) && (now <= this->plan.done_by || has_min_time);
    }

    wall_time latest_time(std::size_t step) const {
        if (this->settings.completion_time.count() == 0) {
            return latest_step_time(this->plan, step);
        }
        bool const is_last = step + 1 >= this->plan.ramp.size();
        auto const earliest = this->plan.ramp[step].earliest;
        auto const reserve = std::max<wall_time::duration>(this->settings.completion_time,
                                                           this->minimum_step_time());
        return is_last ? std::max(earliest, this->plan.done_by - reserve) : earliest;
    }

    bool is_holding(std::size_t next) const {
        bool const is_last = next + 1 >= this->plan.ramp.size();
        return this->e_value() >=
               (is_last ? this->settings.last_hold_threshold : this->settings.hold_threshold);
    }

    // While the old version fails, it cannot be told whether a new one is bad only with all calls,
    // and the calls that a bad one may get are too few to wait for it after the step.
    bool must_wait_for_calm(wall_time now) const {
        return this->settings.completion_time.count() > 0 && now < this->plan.done_by &&
               this->all_routes.is_failing();
    }

    bool may_raise(wall_time now, move_state const& state) const {
        std::size_t const next = std::size_t{state.gate} + 1;
        if (state.pause.paused || this->is_last_step(state) ||
            now < this->plan.ramp[next].earliest || this->is_holding(next)) {
            return false;
        }
        bool const is_last = next + 1 >= this->plan.ramp.size();
        if (is_last && this->must_wait_for_calm(now)) {
            return false;
        }
        // After the last step the old version gets no more calls that would show the same
        // disturbance.
        bool const waits_for_calm = is_last && this->all_routes.is_disturbed();
        return (this->is_step_judged && !waits_for_calm) || this->is_overdue(now, next);
    }
};

judge::judge(move_plan plan, std::string instance, std::size_t route_count,
             judge_settings const& settings)
    : state(std::make_unique<implementation>()) {
    this->state->plan = std::move(plan);
    this->state->instance = std::move(instance);
    this->state->route_count = std::max<std::size_t>(1, route_count);
    this->state->settings = settings;
}
judge::~judge() = default;
judge::judge(judge&&) noexcept = default;
judge& judge::operator=(judge&&) noexcept = default;
judge::judge(judge const& other) : state(std::make_unique<implementation>(*other.state)) {}
judge& judge::operator=(judge const& other) {
    if (this != &other) {
        *this->state = *other.state;
    }
    return *this;
}

verdict judge::assess(wall_time now, move_state const& current, evidence_by_route const& totals) {
    auto& self = *this->state;
    if (self.decision) {
        return *self.decision;
    }
    if (current.latch || self.has_ended(now, current)) {
        return no_change{};
    }
    // Before the start, the old version's calls are recorded as the baseline.
    self.observe(now, totals);
    self.update_settled_calls(now);
    if (now < self.plan.start) {
        return no_change{};
    }
    self.update_step(now, current);
    self.is_step_judged = self.has_enough_evidence(now);
    if (self.e_value() >= self.threshold()) {
        self.decision = self.make_take_back(now);
        return *self.decision;
    }
    if (self.may_raise(now, current)) {
        return step_raise{current.gate + 1};
    }
    return no_change{};
}

void judge::restart() {
    auto& self = *this->state;
    self.step_start.reset();
    self.is_step_judged = false;
    self.all_routes.restart();
    for (auto& [route, judgement] : self.route_judgements) {
        judgement.restart();
    }
}

take_back judge::condemn(wall_time now) {
    this->state->decision = this->state->make_take_back(now);
    return *this->state->decision;
}

judge_summary judge::summary() const {
    auto const& self = *this->state;
    double const value = self.e_value();
    return {value,
            self.threshold(),
            self.is_warming_up,
            self.is_holding(std::size_t{self.step} + 1),
            self.all_routes.is_against_baseline(),
            self.all_routes.is_failing(),
            self.has_sent_step_calls(),
            self.is_step_judged,
            pooled(self.observed)};
}

} // namespace peridot
