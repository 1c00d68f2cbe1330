#include "scenario.h"

#include "../event_queue.h"

#include "admission/admission_controller.h"
#include "routing/endpoint_selector.h"
#include "routing/retry_decision.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace peridot::overload {

namespace {

using member_pointer = endpoint_directory::member_pointer;

/// A simulated request, from its arrival at an entry node until its response there.
struct simulated_request {
    std::size_t entry = 0;
    request_class priority = request_class::interactive;
    steady_time started;
    deadline end;
    std::vector<member_pointer> tried;
    unsigned attempt = 1;
    bool is_counted = false;
};

using request_pointer = std::shared_ptr<simulated_request>;

struct entry_state {
    entry_state() : selector("zone", {}) {}

    endpoint_selector selector;
    retry_budget budget;
};

class simulation {
public:
    simulation(scenario const& chosen, model_sizes const& model);
    run_result run();

private:
    void schedule_arrival();
    void start_request();
    void send(request_pointer const& request);
    void arrive(request_pointer const& request, std::size_t target);
    void serve(request_pointer const& request, std::size_t target, admission_permit permit);
    void serve_plain_queue(std::size_t target);
    nanoseconds draw_service_time(std::size_t target);
    void answer(request_pointer const& request, std::size_t target, attempt_outcome outcome,
                result_code code);
    void receive(request_pointer const& request, std::size_t target, attempt_outcome outcome,
                 result_code code, unsigned pressure);
    void end(simulated_request const& request, bool is_success);
    void tick(std::size_t target);
    void gossip();
    void summarise();

    bool is_slow(std::size_t target) const;
    bool is_running() const { return this->events.now() < this->stop; }

    scenario settings;
    model_sizes sizes;
    event_queue<steady_time> events;
    random_source random;
    steady_time begin;
    steady_time stop;
    endpoint_directory::member_list members;
    std::vector<std::unique_ptr<admission_controller>> targets;
    std::vector<entry_state> entries;
    std::vector<double> latencies;
    std::vector<std::size_t> attempts;
    std::vector<std::deque<request_pointer>> plain_queues;
    std::vector<std::size_t> plain_running;
    double capacity = 0.0;
    std::size_t successes = 0;
    std::size_t interactive = 0;
    std::size_t interactive_failures = 0;
    run_result result;
};

simulation::simulation(scenario const& chosen, model_sizes const& model)
    : settings(chosen)
    , sizes(model)
    , random(chosen.seed)
    , begin(this->events.now() + model.warm_up)
    , stop(this->begin + chosen.length)
    , entries(model.entry_nodes)
    , attempts(model.targets, 0)
    , plain_queues(model.targets)
    , plain_running(model.targets, 0) {
    std::chrono::duration<double> const service_time = model.service_time;
    this->capacity = static_cast<double>(model.targets * model.slots) / service_time.count();
    std::vector<member_record> records(model.targets);
    admission_options options;
    options.limit.slots = model.slots;
    options.limit.minimum_slot_fraction =
        chosen.limit == limit_kind::fixed ? 1.0 : options.limit.minimum_slot_fraction;
    options.queue.bound = chosen.bound;
    for (std::size_t target = 0; target < model.targets; ++target) {
        records[target].instance = std::to_string(target);
        records[target].availability_zone = "zone";
        this->targets.push_back(std::make_unique<admission_controller>(
            options, [](auto function) { function(); }, [this] { return this->events.now(); }));
    }
    this->members = endpoint_directory(records).members();
    for (auto& entry : this->entries) {
        entry.selector.update(this->members, this->members, this->events.now());
    }
}

run_result simulation::run() {
    this->schedule_arrival();
    for (std::size_t target = 0; target < this->targets.size(); ++target) {
        this->tick(target);
    }
    if (this->settings.pressure == pressure_source::gossip) {
        this->gossip();
    }
    this->events.run();
    this->summarise();
    return this->result;
}

void simulation::schedule_arrival() {
    std::exponential_distribution<double> gap(this->settings.load * this->capacity);
    std::chrono::duration<double> const wait(gap(this->random));
    this->events.add(std::chrono::duration_cast<nanoseconds>(wait), [this] {
        if (this->is_running()) {
            this->start_request();
            this->schedule_arrival();
        }
    });
}

void simulation::start_request() {
    auto const now = this->events.now();
    auto const request = std::make_shared<simulated_request>();
    request->entry = this->random() % this->entries.size();
    request->priority = std::bernoulli_distribution(this->sizes.background_part)(this->random)
                            ? request_class::background
                            : request_class::interactive;
    request->started = now;
    request->end = deadline_after(now, this->sizes.deadline);
    request->is_counted = now >= this->begin;
    this->entries[request->entry].budget.record_request();
    this->send(request);
}

void simulation::send(request_pointer const& request) {
    auto const now = this->events.now();
    auto& selector = this->entries[request->entry].selector;
    auto const chosen = selector.choose(request->tried, now, this->random);
    if (!is_ok(chosen)) {
        this->end(*request, false);
        return;
    }
    auto const& member = value(chosen);
    auto const target = std::stoul(member->instance);
    selector.begin(*member, now);
    request->tried.push_back(member);
    this->attempts[target] += request->is_counted ? 1 : 0;
    this->events.add(this->sizes.network_delay,
                     [this, request, target] { this->arrive(request, target); });
}

void simulation::arrive(request_pointer const& request, std::size_t target) {
    if (this->settings.guard == protection::plain_queue) {
        this->plain_queues[target].push_back(request);
        this->serve_plain_queue(target);
        return;
    }
    auto const now = this->events.now();
    admission_request const candidate{request->priority, request->end.at, now};
    auto const admitted = this->targets[target]->try_admit(candidate, now);
    if (auto const* const permit = std::get_if<admission_permit>(&admitted)) {
        this->serve(request, target, *permit);
    } else if (auto const* const refusal = std::get_if<error>(&admitted)) {
        this->answer(request, target, attempt_outcome::not_run, refusal->code);
    } else {
        this->targets[target]->wait(candidate, [this, request, target](auto decision) {
            if (is_ok(decision)) {
                this->serve(request, target, value(decision));
            } else {
                this->answer(request, target, attempt_outcome::not_run, failure(decision).code);
            }
        });
    }
}

nanoseconds simulation::draw_service_time(std::size_t target) {
    std::chrono::duration<double> const mean = this->sizes.service_time;
    double const factor = this->is_slow(target) ? this->sizes.slow_factor : 1.0;
    std::exponential_distribution<double> draw(1.0 / (mean.count() * factor));
    std::chrono::duration<double> const time(draw(this->random));
    return std::chrono::duration_cast<nanoseconds>(time);
}

/// Runs the oldest request to completion, even if its deadline has expired.
void simulation::serve_plain_queue(std::size_t target) {
    auto& queue = this->plain_queues[target];
    if (queue.empty() || this->plain_running[target] == this->sizes.slots) {
        return;
    }
    auto const request = queue.front();
    queue.pop_front();
    ++this->plain_running[target];
    this->events.add(this->draw_service_time(target), [this, request, target] {
        --this->plain_running[target];
        this->answer(request, target, attempt_outcome::run, result_code::ok);
        this->serve_plain_queue(target);
    });
}

void simulation::serve(request_pointer const& request, std::size_t target,
                       admission_permit permit) {
    // The node cancels a request at its deadline.
    nanoseconds const needed = this->draw_service_time(target);
    nanoseconds const allowed = time_left(request->end, this->events.now());
    bool const is_in_time = needed <= allowed;
    this->events.add(std::min(needed, allowed), [this, request, target, permit, is_in_time] {
        this->targets[target]->release(permit, this->events.now());
        this->answer(request, target, is_in_time ? attempt_outcome::run : attempt_outcome::unknown,
                     is_in_time ? result_code::ok : result_code::request_deadline_exceeded);
    });
}

void simulation::answer(request_pointer const& request, std::size_t target, attempt_outcome outcome,
                        result_code code) {
    auto const pressure = this->targets[target]->pressure();
    this->events.add(this->sizes.network_delay,
                     [=, this] { this->receive(request, target, outcome, code, pressure); });
}

void simulation::receive(request_pointer const& request, std::size_t target,
                         attempt_outcome outcome, result_code code, unsigned pressure) {
    auto const now = this->events.now();
    auto& entry = this->entries[request->entry];
    bool const is_success = outcome == attempt_outcome::run && !is_expired(request->end, now);
    attempt_observation observation;
    observation.verdict = outcome == attempt_outcome::unknown   ? endpoint_verdict::failure
                          : outcome == attempt_outcome::not_run ? endpoint_verdict::neutral
                                                                : endpoint_verdict::success;
    if (this->settings.pressure == pressure_source::answers) {
        observation.pressure = pressure;
    }
    entry.selector.finish(*this->members[target], observation, now);
    if (outcome == attempt_outcome::run) {
        this->end(*request, is_success);
        return;
    }
    auto const decision = decide_retry({outcome, code, request->attempt}, idempotence::idempotent,
                                       request->end, entry.budget, {}, now, this->random);
    if (auto const* const retry = std::get_if<retry_elsewhere>(&decision)) {
        request->attempt = retry->attempt;
        this->events.add(retry->delay, [this, request] { this->send(request); });
    } else {
        this->end(*request, false);
    }
}

void simulation::end(simulated_request const& request, bool is_success) {
    if (!request.is_counted) {
        return;
    }
    nanoseconds const elapsed = this->events.now() - request.started;
    std::chrono::duration<double, std::milli> const latency =
        std::min<nanoseconds>(elapsed, this->sizes.deadline);
    this->latencies.push_back(latency.count());
    this->successes += is_success ? 1 : 0;
    if (request.priority == request_class::interactive) {
        ++this->interactive;
        this->interactive_failures += is_success ? 0 : 1;
    }
}

void simulation::tick(std::size_t target) {
    constexpr milliseconds interval{100};
    this->targets[target]->tick();
    if (this->is_running() || this->targets[target]->waiting() > 0) {
        this->events.add(interval, [this, target] { this->tick(target); });
    }
}

/// Delivers the current pressure of each target to the entry nodes after one second.
void simulation::gossip() {
    constexpr seconds age{1};
    for (std::size_t target = 0; target < this->targets.size(); ++target) {
        auto const pressure = this->targets[target]->pressure();
        this->events.add(age, [this, target, pressure] {
            for (auto& entry : this->entries) {
                entry.selector.set_pressure(*this->members[target], pressure, this->events.now());
            }
        });
    }
    if (this->is_running()) {
        this->events.add(age, [this] { this->gossip(); });
    }
}

void simulation::summarise() {
    auto& sorted = this->latencies;
    std::sort(sorted.begin(), sorted.end());
    auto const count = static_cast<double>(std::max<std::size_t>(1, sorted.size()));
    auto const quantile = [&](double part) {
        return sorted.empty() ? 0.0 : sorted[static_cast<std::size_t>(part * (count - 1.0))];
    };
    std::size_t sent = 0;
    for (auto const target_attempts : this->attempts) {
        sent += target_attempts;
    }
    auto const total_attempts = static_cast<double>(std::max<std::size_t>(1, sent));
    this->result.requests = static_cast<double>(sorted.size());
    this->result.goodput = static_cast<double>(this->successes) /
                           static_cast<double>(this->settings.length.count()) / this->capacity;
    this->result.failed_part = 1.0 - static_cast<double>(this->successes) / count;
    this->result.interactive_failed_part =
        static_cast<double>(this->interactive_failures) /
        static_cast<double>(std::max<std::size_t>(1, this->interactive));
    this->result.attempts_per_request = static_cast<double>(sent) / count;
    this->result.first_target_part = static_cast<double>(this->attempts[0]) / total_attempts;
    this->result.median_milliseconds = quantile(0.5);
    this->result.p99_milliseconds = quantile(0.99);
}

bool simulation::is_slow(std::size_t target) const {
    return this->settings.slow == slowdown::first_target && target == 0 &&
           this->events.now() >= this->begin;
}

} // namespace

run_result run(scenario const& settings, model_sizes const& sizes) {
    return simulation(settings, sizes).run();
}

} // namespace peridot::overload
