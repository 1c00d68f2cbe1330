#include "scenario.h"

#include "../event_queue.h"
#include "policy.h"

#include "mesh/gate_queue.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>
#include <unordered_map>

namespace peridot::placement {

namespace {

constexpr seconds warm_up{2};
constexpr std::chrono::microseconds delay_in_zone{200};
constexpr std::chrono::microseconds delay_between_zones{500};
constexpr milliseconds queue_check_period{100};
constexpr milliseconds sample_period{10};
// Like call_entry.
constexpr unsigned max_offers = 6;

struct route_kind {
    std::string name;
    double part;
    milliseconds work;
    milliseconds target_latency;
    milliseconds timeout;
};

std::array<route_kind, 3> const routes{
    {{"short", 0.5, milliseconds(44), milliseconds(250), milliseconds(1000)},
     {"usual", 0.35, milliseconds(120), milliseconds(600), milliseconds(2000)},
     {"long", 0.15, milliseconds(340), milliseconds(1200), milliseconds(3000)}}};

double mean_work_seconds() {
    double sum = 0;
    for (auto const& route : routes) {
        sum += route.part * std::chrono::duration<double>(route.work).count();
    }
    return sum;
}

struct simulated_request {
    std::size_t node = 0;
    route_kind const* route = nullptr;
    boot_time arrived;
    boot_time deadline;
    boot_time finish_by;
    /// Work left, as time at the usual speed and pace.
    double work = 0;
    target_selector::attempt_history history;
    wait_limit limit = wait_limit::target_latency;
    unsigned offers = 0;
};
using request_pointer = std::shared_ptr<simulated_request>;

struct running_request {
    request_pointer request;
    boot_time updated;
    std::uint64_t generation = 0;
};

struct simulated_target {
    gate_queue queue;
    double speed = 1;
    double pace = 1;
    std::unordered_map<std::uint64_t, request_pointer> waiting;
    std::unordered_map<std::uint64_t, running_request> running;
};

class simulation {
public:
    explicit simulation(scenario const& chosen)
        : settings(chosen)
        , load_random(chosen.seed)
        , slow_random(chosen.seed + 2'000'000)
        , choice_random(chosen.seed + 1'000'000)
        , begin(this->events.now() + warm_up)
        , stop(this->begin + chosen.length)
        , targets(chosen.targets)
        , heard_at(chosen.nodes, std::vector<boot_time>(chosen.targets)) {
        for (std::size_t index = 0; index < chosen.targets; ++index) {
            member created;
            created.instance = std::to_string(index);
            created.availability_zone = this->zone_of(index);
            created.target.slots = chosen.slots;
            this->members.push_back(created);
            auto& target = this->targets[index];
            target.queue.set_slots(chosen.slots);
            target.speed = chosen.speeds[(index / chosen.zones) % chosen.speeds.size()];
        }
        for (std::size_t node = 0; node < chosen.nodes; ++node) {
            this->policies.push_back(
                make_policy(chosen.placement, this->members, node, this->zone_of(node)));
        }
    }

    run_result run() {
        double capacity = 0;
        for (auto const& target : this->targets) {
            capacity += target.speed * this->settings.slots / mean_work_seconds();
        }
        capacity *= 1 - this->settings.slow_part * (1 - 1 / this->settings.slow_factor);
        this->rate = capacity * this->settings.load;
        this->schedule_arrival();
        for (std::size_t target = 0; target < this->targets.size(); ++target) {
            this->schedule_slowdown(target);
            this->check_queue(target);
        }
        this->sample();
        this->events.run();
        return this->summary();
    }

private:
    std::string zone_of(std::size_t index) const {
        return std::to_string(index % this->settings.zones);
    }
    nanoseconds delay(std::size_t node, std::size_t target) const {
        return this->zone_of(node) == this->zone_of(target) ? delay_in_zone : delay_between_zones;
    }
    bool is_running() const { return this->events.now() < this->stop; }
    bool is_counted(simulated_request const& request) const {
        return request.arrived >= this->begin;
    }
    bool states_pace() const { return this->settings.placement == strategy::even_load; }

    static nanoseconds to_time(double seconds) {
        return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(seconds));
    }
    static nanoseconds draw_gap(double per_second, random_source& random) {
        return to_time(std::exponential_distribution<double>(per_second)(random));
    }

    void schedule_arrival() {
        this->events.add(draw_gap(this->rate, this->load_random), [this] {
            if (this->is_running()) {
                this->arrive();
                this->schedule_arrival();
            }
        });
    }

    void arrive() {
        auto const request = std::make_shared<simulated_request>();
        request->node = this->load_random() % this->settings.nodes;
        double drawn = std::uniform_real_distribution<double>(0, 1)(this->load_random);
        for (auto const& route : routes) {
            request->route = &route;
            drawn -= route.part;
            if (drawn < 0) {
                break;
            }
        }
        request->arrived = this->events.now();
        request->deadline = request->arrived + request->route->timeout;
        request->work = std::chrono::duration<double>(request->route->work).count() *
                        std::uniform_real_distribution<double>(0.7, 1.3)(this->load_random);
        this->requests += this->is_counted(*request) ? 1 : 0;
        if (this->settings.placement == strategy::common_queue) {
            this->common.push_back(request);
            this->serve_common();
        } else {
            this->place(request);
        }
    }

    void place(request_pointer const& request) {
        auto const now = this->events.now();
        auto& node = *this->policies[request->node];
        auto const choice =
            request->offers < max_offers && now < request->deadline
                ? node.choose(request->route->name, request->history, now, this->choice_random)
                : std::nullopt;
        if (!choice) {
            this->end(*request, false);
            return;
        }
        ++request->offers;
        request->limit = choice->limit;
        request->finish_by = choice->limit == wait_limit::target_latency
                                 ? request->arrived + request->route->target_latency
                                 : request->deadline;
        auto const target = std::stoul(choice->chosen->instance);
        if (this->is_counted(*request)) {
            ++this->offers;
            this->remote_offers += this->zone_of(request->node) != this->zone_of(target) ? 1 : 0;
            if (this->heard_at[request->node][target] != boot_time{}) {
                this->ages.push_back(std::chrono::duration<double, std::milli>(
                                         now - this->heard_at[request->node][target])
                                         .count());
            }
        }
        node.start(target);
        this->events.add(this->delay(request->node, target),
                         [this, request, target] { this->offer(request, target); });
    }

    void offer(request_pointer const& request, std::size_t index) {
        auto const now = this->events.now();
        auto& target = this->targets[index];
        auto const id = ++this->last_id;
        auto const decision = target.queue.offer({id, request->route->name, 0,
                                                  request->arrived + request->route->target_latency,
                                                  request->deadline, request->finish_by},
                                                 now);
        if (std::holds_alternative<gate_refusal>(decision)) {
            this->refuse(request, index);
        } else if (std::holds_alternative<gate_wait>(decision)) {
            target.waiting.emplace(id, request);
        } else {
            this->start(id, request, index);
        }
    }

    void refuse(request_pointer const& request, std::size_t index) {
        if (this->is_counted(*request)) {
            bool has_free = false;
            bool has_free_in_zone = false;
            for (std::size_t other = 0; other < this->targets.size(); ++other) {
                if (this->targets[other].running.size() < this->settings.slots) {
                    has_free = true;
                    has_free_in_zone =
                        has_free_in_zone || this->zone_of(other) == this->zone_of(index);
                }
            }
            this->needless += has_free ? 1 : 0;
            this->needless_in_zone += has_free_in_zone ? 1 : 0;
        }
        this->answer(request, index, false);
    }

    void start(std::uint64_t id, request_pointer const& request, std::size_t index) {
        this->targets[index].running[id] = {request, this->events.now()};
        this->schedule_end(id, index);
    }

    void schedule_end(std::uint64_t id, std::size_t index) {
        auto& target = this->targets[index];
        auto& entry = target.running[id];
        auto const generation = ++entry.generation;
        auto const needed = to_time(entry.request->work / (target.speed * target.pace));
        auto const left = entry.request->deadline - this->events.now();
        bool const is_answered = needed <= left;
        this->events.add(std::max(nanoseconds(0), std::min<nanoseconds>(needed, left)),
                         [this, id, index, generation, is_answered] {
                             auto& running = this->targets[index].running;
                             auto const found = running.find(id);
                             if (found != running.end() && found->second.generation == generation) {
                                 this->finish(id, index, is_answered);
                             }
                         });
    }

    void finish(std::uint64_t id, std::size_t index, bool is_answered) {
        auto const now = this->events.now();
        auto& target = this->targets[index];
        auto const request = target.running[id].request;
        target.running.erase(id);
        if (this->settings.placement == strategy::common_queue) {
            this->events.add(delay_in_zone,
                             [this, request, is_answered] { this->end(*request, is_answered); });
            this->serve_common();
            return;
        }
        if (this->states_pace() && is_answered) {
            target.queue.set_pace(target.pace, now);
        }
        target.queue.finish(
            id, is_answered ? gate_queue::outcome::succeeded : gate_queue::outcome::unanswered,
            now);
        this->dispatch(index);
        if (is_answered) {
            this->answer(request, index, true);
        } else {
            this->policies[request->node]->finish(index);
            this->end(*request, false);
        }
    }

    void dispatch(std::size_t index) {
        auto& target = this->targets[index];
        auto const dequeued = target.queue.dispatch(this->events.now());
        for (auto const id : dequeued.started) {
            this->start(id, this->take_waiting(target, id), index);
        }
        for (auto const& [id, refused] : dequeued.refused) {
            this->refuse(this->take_waiting(target, id), index);
        }
    }

    static request_pointer take_waiting(simulated_target& target, std::uint64_t id) {
        return target.waiting.extract(id).mapped();
    }

    void check_queue(std::size_t index) {
        this->dispatch(index);
        if (this->is_running() || !this->targets[index].waiting.empty()) {
            this->events.add(queue_check_period, [this, index] { this->check_queue(index); });
        }
    }

    void answer(request_pointer const& request, std::size_t index, bool is_answered) {
        auto const load = this->targets[index].queue.load(request->route->name, this->events.now());
        this->events.add(this->delay(request->node, index), [=, this] {
            auto const now = this->events.now();
            auto& node = *this->policies[request->node];
            node.observe_load(index, request->route->name, load, now);
            node.finish(index);
            this->heard_at[request->node][index] = now;
            if (is_answered) {
                this->end(*request, true);
                return;
            }
            node.observe_refusal(index, now);
            (request->limit == wait_limit::target_latency ? request->history.busy
                                                          : request->history.excluded)
                .insert(std::to_string(index));
            this->place(request);
        });
    }

    void serve_common() {
        while (!this->common.empty()) {
            std::optional<std::size_t> best;
            auto const power = [this](std::size_t index) {
                return this->targets[index].speed * this->targets[index].pace;
            };
            for (std::size_t index = 0; index < this->targets.size(); ++index) {
                if (this->targets[index].running.size() < this->settings.slots &&
                    (!best || power(index) > power(*best))) {
                    best = index;
                }
            }
            if (!best) {
                return;
            }
            auto const request = this->common.front();
            this->common.pop_front();
            this->start(++this->last_id, request, *best);
        }
    }

    void schedule_slowdown(std::size_t index) {
        if (this->settings.slow_part <= 0) {
            return;
        }
        double const slow = std::chrono::duration<double>(this->settings.slow_duration).count();
        auto const gap = draw_gap(
            this->settings.slow_part / ((1 - this->settings.slow_part) * slow), this->slow_random);
        this->events.add(gap, [this, index] {
            if (!this->is_running()) {
                return;
            }
            this->set_pace(index, 1 / this->settings.slow_factor);
            this->events.add(this->settings.slow_duration, [this, index] {
                this->set_pace(index, 1);
                this->schedule_slowdown(index);
            });
        });
    }

    void set_pace(std::size_t index, double pace) {
        auto const now = this->events.now();
        auto& target = this->targets[index];
        double const old_power = target.speed * target.pace;
        target.pace = pace;
        std::vector<std::uint64_t> ids;
        for (auto& [id, entry] : target.running) {
            entry.request->work -=
                std::chrono::duration<double>(now - entry.updated).count() * old_power;
            entry.request->work = std::max(0.0, entry.request->work);
            entry.updated = now;
            ids.push_back(id);
        }
        std::ranges::sort(ids);
        for (auto const id : ids) {
            this->schedule_end(id, index);
        }
    }

    void sample() {
        if (this->events.now() >= this->begin) {
            double sum = 0;
            double squares = 0;
            for (auto const& target : this->targets) {
                double const used =
                    static_cast<double>(target.running.size()) / this->settings.slots;
                sum += used;
                squares += used * used;
            }
            auto const count = static_cast<double>(this->targets.size());
            this->spread_sum +=
                std::sqrt(std::max(0.0, squares / count - sum / count * (sum / count)));
            ++this->samples;
        }
        if (this->is_running()) {
            this->events.add(sample_period, [this] { this->sample(); });
        }
    }

    void end(simulated_request const& request, bool is_answered) {
        if (!this->is_counted(request)) {
            return;
        }
        // A failed request counts with the time for which its caller would wait.
        auto const elapsed =
            is_answered ? this->events.now() - request.arrived : request.route->timeout;
        this->times.push_back(std::chrono::duration<double, std::milli>(elapsed).count());
        this->failed += is_answered ? 0 : 1;
        this->late += !is_answered || elapsed > request.route->target_latency ? 1 : 0;
    }

    static double quantile(std::vector<double>& values, double part) {
        if (values.empty()) {
            return 0;
        }
        std::ranges::sort(values);
        return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
    }

    run_result summary() {
        auto const count = static_cast<double>(std::max<std::size_t>(1, this->requests));
        auto const part = [count](std::size_t some) { return static_cast<double>(some) / count; };
        run_result result;
        result.requests = static_cast<double>(this->requests);
        result.spread =
            this->spread_sum / static_cast<double>(std::max<std::size_t>(1, this->samples));
        result.p50_ms = quantile(this->times, 0.5);
        result.p99_ms = quantile(this->times, 0.99);
        result.p999_ms = quantile(this->times, 0.999);
        result.needless_refusals = 1000 * part(this->needless);
        result.needless_refusals_in_zone = 1000 * part(this->needless_in_zone);
        result.offers = part(this->offers);
        result.remote_part = part(this->remote_offers);
        result.late_part = part(this->late);
        result.failed_part = part(this->failed);
        result.report_age_p10_ms = quantile(this->ages, 0.1);
        result.report_age_p50_ms = quantile(this->ages, 0.5);
        result.report_age_p90_ms = quantile(this->ages, 0.9);
        return result;
    }

    scenario settings;
    event_queue<boot_time> events;
    // Separate, so that all strategies get the same load.
    random_source load_random;
    random_source slow_random;
    random_source choice_random;
    boot_time begin;
    boot_time stop;
    std::vector<member> members;
    std::vector<simulated_target> targets;
    std::vector<std::unique_ptr<policy>> policies;
    std::vector<std::vector<boot_time>> heard_at;
    std::deque<request_pointer> common;
    double rate = 0;
    std::uint64_t last_id = 0;
    std::size_t requests = 0;
    std::size_t offers = 0;
    std::size_t remote_offers = 0;
    std::size_t needless = 0;
    std::size_t needless_in_zone = 0;
    std::size_t late = 0;
    std::size_t failed = 0;
    std::size_t samples = 0;
    double spread_sum = 0;
    std::vector<double> times;
    std::vector<double> ages;
};

} // namespace

run_result run(scenario const& settings) {
    return simulation(settings).run();
}

} // namespace peridot::placement
