#include "sidecar/target_gate.h"

#include "core/log.h"
#include "http/body_stream.h"
#include "http/connection_pool.h"
#include "mesh/decaying_failure_rate.h"
#include "mesh/gate_queue.h"
#include "mesh/link_request.h"
#include "mesh/service_terms.h"
#include "mesh/target_reach.h"
#include "mesh/warm_up.h"
#include "observability/counter.h"
#include "observability/gauge.h"
#include "observability/latency_histogram.h"
#include "platform/messages.h"
#include "sidecar/body_limits.h"
#include "sidecar/observed_request.h"
#include "sidecar/recent_ids.h"
#include "sidecar/response_link.h"
#include "sidecar/rollout_evidence.h"
#include "sidecar/sidecar_metrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr milliseconds connect_timeout{500};
// The target responds at its deadline on its own; this is the extra time for its response to
// arrive.
constexpr milliseconds answer_margin{20};
constexpr milliseconds queue_check_period{100};
constexpr unsigned first_failure_status = 500;
constexpr unsigned misdirected_status = 421;
// Percentage of the target's slots in use when all of them are.
constexpr unsigned full_pressure = 100;
constexpr double percent = 100;
// Limits the gauge; a target may state any number.
constexpr double max_stated_pace = 100;

} // namespace

class target_gate::implementation {
public:
    implementation(asio::io_context& io, connection_pool& pool, socket_address target_address,
                   response_link& instance_link, sidecar_metrics& node_metrics,
                   rollout_evidence& request_evidence, state_function on_state)
        : context(io)
        , connections(pool)
        , address(std::move(target_address))
        , link(instance_link)
        , metrics(node_metrics)
        , evidence(request_evidence)
        , report_state(std::move(on_state)) {}

    // A request that waits for a slot, and the decision once it is made.
    struct waiter {
        explicit waiter(asio::io_context& io) : decided(io) {}
        asio::steady_timer decided;
        std::optional<gate_decision> decision;
    };

    // Releases the slot or the queue entry on destruction, including after cancellation.
    class slot_guard {
    public:
        slot_guard(implementation& gate, std::uint64_t number) : gate(gate), number(number) {}
        ~slot_guard() {
            auto const now = boot_clock::now();
            // A slot may have been assigned between the decision and the cancellation of the
            // request, so both are released unconditionally.
            if (this->abandoned_until) {
                this->gate.queue.abandon(this->number, *this->abandoned_until, now);
            }
            this->gate.queue.finish(this->number, this->ended, now);
            this->gate.queue.cancel(this->number, now);
            this->gate.waiters.erase(this->number);
            this->gate.dispatch(now);
        }
        slot_guard(slot_guard const&) = delete;
        slot_guard& operator=(slot_guard const&) = delete;
        slot_guard(slot_guard&&) = delete;
        slot_guard& operator=(slot_guard&&) = delete;

        gate_queue::outcome ended = gate_queue::outcome::unanswered;
        /// Deadline of a request whose caller left while the target was at work.
        std::optional<boot_time> abandoned_until;

    private:
        implementation& gate;
        std::uint64_t number;
    };

    asio::awaitable<gate_answer> run(gate_call call, http_request request) {
        std::shared_ptr<void const> reservation;
        auto answer = co_await this->admit(call, std::move(request), reservation);
        if (auto const* refused = std::get_if<gate_refusal>(&answer)) {
            this->log_refusal(call, *refused);
        }
        if (auto const* ran = std::get_if<gate_ran>(&answer)) {
            co_await this->link.await_turn(call.route, ran->answer, std::move(reservation));
        }
        co_return answer;
    }

    asio::awaitable<gate_answer> admit(gate_call const& call, http_request request,
                                       std::shared_ptr<void const>& reservation) {
        if (auto const refused = this->check(call)) {
            co_return *refused;
        }
        if (auto const refused = this->check_link(call)) {
            co_return *refused;
        }
        reservation = this->link.reserve(call.route, this->expected_answer_time(call.route));
        // After a restart of this node, the sender may know more about the target.
        if (!this->has_notice && call.rate_limit) {
            this->notice.rate_limit = call.rate_limit;
        }
        std::uint64_t const number = ++this->last_number;
        gate_request queued{number,        call.route,     call.priority,  call.soft_deadline,
                            call.deadline, call.finish_by, call.workspace, call.workspace_priority};
        auto const guard = std::make_shared<slot_guard>(*this, number);
        this->update_rate_limit(boot_clock::now());
        auto decision = this->queue.offer(std::move(queued), boot_clock::now());
        if (std::holds_alternative<gate_wait>(decision)) {
            decision = co_await this->wait(number);
        }
        if (auto const* refused = std::get_if<gate_refusal>(&decision)) {
            co_return *refused;
        }
        // The process may have been suspended, or the target may have gone out of service, while
        // the request waited.
        if (auto const refused = this->check(call)) {
            co_return *refused;
        }
        if (call.kind == request_kind::non_idempotent &&
            !this->forwarded_ids.insert(call.attempt_id, boot_clock::now())) {
            co_return gate_unknown{{result_code::request_duplicate,
                                    "the request was already forwarded to the target"}};
        }
        co_return co_await this->forward(call, std::move(request), guard);
    }

    void set_target(std::optional<target_record> const& next) {
        if (!next || !this->target || !is_same_process(*next, *this->target)) {
            this->failures = {};
            this->reach = {};
            this->has_notice = false;
            this->notice = {};
            this->warming = {};
            this->warming.set_cold_rate(this->cold_rate);
            this->warming.presume_cold();
            this->queue.reset_pace(boot_clock::now());
            this->metrics.gate_target_pace.set(0);
            this->update_rate_limit(boot_clock::now());
        }
        this->target = next;
        this->apply_service_state();
    }

    void set_zone_evacuated(bool is_evacuated) {
        if (this->is_zone_evacuated && !is_evacuated) {
            // Targets of the zone may have become cold meanwhile.
            this->warming.presume_cold();
        }
        this->is_zone_evacuated = is_evacuated;
        this->metrics.gate_zone_evacuated.set(is_evacuated ? 1 : 0);
        this->apply_service_state();
    }

    void set_terms(service_terms const& terms) {
        this->cold_rate = terms.cold_rate;
        this->warming.set_cold_rate(terms.cold_rate);
        this->update_rate_limit(boot_clock::now());
    }

    void observe_warm_up(milliseconds remaining) {
        this->warming.observe(remaining, boot_clock::now());
        this->dispatch(boot_clock::now());
    }

    void set_blocked_version(std::string version) {
        if (this->blocked_version == version) {
            return;
        }
        if (version.empty()) {
            log::write(log::level::info, "version_unblocked", {{"version", this->blocked_version}});
        }
        this->blocked_version = std::move(version);
        this->set_target(this->target);
        if (!this->blocked_version.empty()) {
            log::write(log::level::warning, "version_blocked",
                       {{"version", this->blocked_version},
                        {"applies_to_target", this->is_target_blocked()}});
        }
    }

    void set_stop_time(boot_time at) {
        this->queue.set_stop_time(at);
        this->dispatch(boot_clock::now());
    }

    gate_load load(std::string const& route) const {
        auto const now = boot_clock::now();
        auto current = this->queue.load(route, now);
        current.expected_wait +=
            this->link.expected_delay(route, now + current.expected_wait + current.service_time);
        current.failure_rate = this->failures.at(now);
        this->metrics.gate_in_use.set(current.in_use);
        this->metrics.gate_waiting.set(current.waiting);
        return current;
    }

    bool is_target_at_work() const { return this->queue.running_count() > 0; }

private:
    // Why the gate refuses every request at present; no value if it does not.
    std::optional<result_code> service_refusal() const {
        if (!this->target) {
            return result_code::request_no_endpoint;
        }
        if (!is_in_service(this->target->state)) {
            return result_code::request_draining;
        }
        if (this->is_target_blocked()) {
            return result_code::request_version_blocked;
        }
        if (this->is_zone_evacuated) {
            return result_code::request_zone_evacuated;
        }
        return std::nullopt;
    }

    void apply_service_state() {
        this->metrics.gate_version_blocked.set(this->is_target_blocked() ? 1 : 0);
        auto const refusal = this->service_refusal();
        this->queue.set_slots(refusal ? 0 : this->target->slots);
        this->deliver_decisions(refusal ? this->queue.refuse_all(*refusal)
                                        : this->queue.dispatch(boot_clock::now()));
    }

    // The target's own limit and that of its warm-up both hold.
    void update_rate_limit(boot_time now) {
        auto limit = this->notice.rate_limit;
        auto const cold_limit = this->warming.rate_limit(now);
        if (cold_limit) {
            limit = std::min(limit.value_or(*cold_limit), *cold_limit);
        }
        this->metrics.gate_target_cold.set(cold_limit ? 1 : 0);
        if (limit == this->rate_limit) {
            return;
        }
        this->rate_limit = limit;
        this->queue.set_rate_limit(limit, now);
        if (limit) {
            log::write(log::level::warning, "target_rate_limited",
                       {{"requests_per_second", *limit}, {"is_cold", cold_limit.has_value()}});
        } else {
            log::write(log::level::info, "target_rate_unlimited", {});
        }
    }

    bool is_target_blocked() const {
        return this->target && !this->blocked_version.empty() &&
               this->target->version == this->blocked_version;
    }

    std::optional<gate_refusal> check(gate_call const& call) const {
        if (auto const refusal = this->service_refusal()) {
            return gate_refusal{*refusal, {}};
        }
        if (this->target->id != call.target_id) {
            return gate_refusal{result_code::request_misdirected, {}, {}, this->target};
        }
        if (boot_clock::now() >= call.deadline) {
            return gate_refusal{result_code::request_deadline_exceeded, {}};
        }
        return std::nullopt;
    }

    // When the target is expected to have answered a request that arrives now.
    boot_time expected_answer_time(std::string const& route) const {
        auto const now = boot_clock::now();
        if (!this->link.has_large_responses(route)) {
            return now;
        }
        auto const current = this->queue.load(route, now);
        return now + current.expected_wait + current.service_time;
    }

    std::optional<gate_refusal> check_link(gate_call const& call) const {
        return this->link.find_refusal({call.route, this->expected_answer_time(call.route),
                                        call.soft_deadline,
                                        std::min(call.finish_by, call.deadline)});
    }

    // Checks the queue periodically: a target that stops responding frees no slot for a long time,
    // and waiting requests must not be held until their deadline.
    asio::awaitable<gate_decision> wait(std::uint64_t number) {
        auto const waiting = std::make_shared<waiter>(this->context);
        this->waiters[number] = waiting;
        while (!waiting->decision) {
            waiting->decided.expires_after(queue_check_period);
            co_await waiting->decided.async_wait(asio::as_tuple(asio::use_awaitable));
            if (!waiting->decision) {
                this->dispatch(boot_clock::now());
            }
        }
        co_return *waiting->decision;
    }

    void dispatch(boot_time now) {
        this->update_rate_limit(now);
        this->deliver_decisions(this->queue.dispatch(now));
    }

    void deliver_decisions(gate_queue::dequeued_requests const& dequeued) {
        for (auto const number : dequeued.started) {
            this->deliver_decision(number, gate_start{});
        }
        for (auto const& [number, refused] : dequeued.refused) {
            this->deliver_decision(number, refused);
        }
    }

    void deliver_decision(std::uint64_t number, gate_decision const& decision) {
        auto const found = this->waiters.find(number);
        if (found == this->waiters.end()) {
            // The request was cancelled after the decision; its slot is passed to the next request.
            this->queue.finish(number, gate_queue::outcome::unanswered, boot_clock::now());
            return;
        }
        found->second->decision = decision;
        found->second->decided.cancel();
    }

    asio::awaitable<gate_answer> forward(gate_call const& call, http_request request,
                                         std::shared_ptr<slot_guard> guard) {
        auto const started = boot_clock::now();
        auto const current = this->queue.load(call.route, started);
        log::write(log::level::debug, "request_passed_on",
                   {{"request", call.attempt_id},
                    {"route", call.route},
                    {"target", call.target_id},
                    {"in_use", static_cast<std::int64_t>(current.in_use)},
                    {"waiting", static_cast<std::int64_t>(current.waiting)}});
        auto const pressure =
            current.slots == 0
                ? full_pressure
                : std::min(full_pressure, full_pressure * current.in_use / current.slots);
        auto const observed =
            this->evidence.start(call.route, this->target->version, pressure, started);
        write_target_request(request,
                             std::chrono::duration_cast<milliseconds>(call.deadline - started),
                             call.target_id, call.calling_service);
        exchange_options options;
        options.reuse = call.kind == request_kind::idempotent ? connection_reuse::any
                                                              : connection_reuse::recent_only;
        options.connect_timeout = connect_timeout;
        options.accepts_close_delimited = true;
        options.whole_body_bytes = max_whole_body_bytes;
        options.match = [id = call.attempt_id](http_response const& answer) {
            return match_answer(answer, id);
        };
        auto outcome = co_await this->connections.exchange(
            this->address, std::move(request), to_steady_time(call.deadline + answer_margin),
            options);
        auto const ended_at = boot_clock::now();
        this->metrics.target_duration.record(
            std::chrono::duration_cast<microseconds>(ended_at - started));
        if (auto const* failed = std::get_if<exchange_failure>(&outcome)) {
            if (failed->progress == exchange_progress::not_sent) {
                this->observe_unconnected(call, ended_at);
                observed->finish(call_outcome::not_judged, ended_at);
                co_return gate_refusal{result_code::request_connect_failed, {}};
            }
            // A disconnecting caller cancels the exchange. That is no failure of the target, but
            // shows how long it has not answered.
            auto const ended = co_await asio::this_coro::cancellation_state;
            if (ended.cancelled() == asio::cancellation_type::none) {
                this->report(*observed, call_outcome::failed);
            } else {
                guard->abandoned_until = call.deadline;
            }
            this->log_unknown_outcome(call, failed->reason);
            co_return gate_unknown{failed->reason};
        }
        this->observe_response(call);
        auto& answer = std::get<http_response>(outcome);
        observed->set_response_started(ended_at);
        auto const proof = classify_answer(answer, call.attempt_id);
        if (proof != execution_proof::none) {
            this->observe_notice(call, answer);
        }
        switch (proof) {
        case execution_proof::not_run:
            if (answer.status != misdirected_status) {
                this->queue.observe_target_refusal(ended_at);
            }
            observed->finish(call_outcome::not_judged, ended_at);
            co_return gate_target_refusal{std::move(answer)};
        case execution_proof::none: {
            this->report(*observed, call_outcome::failed);
            error const reason{result_code::request_answer_mismatched,
                               "the target's response lacks the required headers"};
            this->log_unknown_outcome(call, reason);
            co_return gate_unknown{reason};
        }
        case execution_proof::ran:
            break;
        }
        bool const is_failure = answer.status >= first_failure_status;
        guard->ended = is_failure ? gate_queue::outcome::failed : gate_queue::outcome::succeeded;
        auto const result = is_failure ? call_outcome::failed : call_outcome::succeeded;
        if (answer.rest) {
            this->report_after_transfer(call, observed, result, answer, guard);
        } else {
            this->report(*observed, result);
        }
        co_return gate_ran{std::move(answer)};
    }

    // The target is at work until the end of its response, so its slot is held until then. A body
    // that is cut counts as a failure of the target.
    void report_after_transfer(gate_call const& call,
                               std::shared_ptr<observed_request> const& observed,
                               call_outcome answered, http_response& answer,
                               std::shared_ptr<slot_guard> const& guard) {
        answer.completion_guard = guard;
        std::weak_ptr<slot_guard> const slot = guard;
        answer.rest->add_end_handler([this, call, observed, answered, slot](body_outcome outcome) {
            auto result = answered;
            if (outcome == body_outcome::failed) {
                result = call_outcome::failed;
                this->log_unknown_outcome(call, {result_code::request_answer_incomplete,
                                                 "the target's response ended early"});
            }
            auto const held = slot.lock();
            if (held && result == call_outcome::failed) {
                held->ended = gate_queue::outcome::failed;
            }
            this->report(*observed, result);
        });
    }

    bool is_current_target(gate_call const& call) const {
        return this->target && this->target->id == call.target_id;
    }

    void observe_unconnected(gate_call const& call, boot_time now) {
        if (!this->is_current_target(call)) {
            return;
        }
        this->reach.observe_failure(now);
        // A target without a listener may be one that is starting again.
        this->warming.presume_cold();
        if (this->reach.is_lost(now) && this->target->state == target_state::ready) {
            this->report_target_state(target_state::unreachable);
        }
    }

    void observe_response(gate_call const& call) {
        if (!this->is_current_target(call)) {
            return;
        }
        this->reach.observe_response();
        if (this->target->state == target_state::unreachable) {
            this->report_target_state(target_state::ready);
        }
    }

    void report_target_state(target_state observed) const {
        auto record = *this->target;
        record.state = observed;
        this->report_state(record);
    }

    void observe_notice(gate_call const& call, http_response const& answer) {
        auto const observed = read_target_notice(answer);
        if (observed && this->is_current_target(call)) {
            this->has_notice = true;
            this->apply_notice(*observed);
        }
        auto const pace = read_target_pace(answer);
        if (pace && this->is_current_target(call)) {
            this->queue.set_pace(*pace, boot_clock::now());
            this->metrics.gate_target_pace.set(
                std::lround(std::min(*pace, max_stated_pace) * percent));
        }
    }

    void apply_notice(target_notice const& next) {
        if (next == this->notice) {
            return;
        }
        this->notice = next;
        this->update_rate_limit(boot_clock::now());
        if (next.is_leaving && is_in_service(this->target->state)) {
            auto draining = *this->target;
            draining.state = target_state::draining;
            this->set_target(draining);
            this->report_state(draining);
        }
    }

    void report(observed_request& observed, call_outcome result) {
        auto const now = boot_clock::now();
        this->failures.observe(result == call_outcome::failed
                                   ? decaying_failure_rate::outcome::failed
                                   : decaying_failure_rate::outcome::succeeded,
                               now);
        observed.finish(result, now);
    }

    void log_refusal(gate_call const& call, gate_refusal const& refused) {
        this->metrics.gate_refusals.add();
        auto const current = this->load(call.route);
        auto const time_left_ms = [now = boot_clock::now()](boot_time at) {
            return std::chrono::duration_cast<milliseconds>(at - now).count();
        };
        log::write(
            log::level::info, "gate_refused",
            {{"request", call.attempt_id},
             {"route", call.route},
             {"sender", call.sender},
             {"reason", std::string(name(refused.reason))},
             {"in_use", static_cast<std::int64_t>(current.in_use)},
             {"waiting", static_cast<std::int64_t>(current.waiting)},
             {"slots", static_cast<std::int64_t>(current.slots)},
             {"priority", static_cast<std::int64_t>(call.priority)},
             {"workspace", call.workspace},
             {"expected_wait_ms", current.expected_wait.count()},
             {"own_wait_ms", refused.expected_wait.count()},
             {"link_wait_ms", this->link.expected_delay(call.route, boot_clock::now()).count()},
             {"service_time_ms", current.service_time.count()},
             {"pace_percent", std::lround(current.pace.value_or(1) * percent)},
             {"soft_deadline_ms", time_left_ms(call.soft_deadline)},
             {"finish_by_ms", time_left_ms(call.finish_by)},
             {"deadline_ms", time_left_ms(call.deadline)},
             {"retry_after_ms", refused.retry_after.count()}});
    }

    void log_unknown_outcome(gate_call const& call, error const& reason) const {
        log::write(log::level::warning, "target_outcome_unknown",
                   {{"request", call.attempt_id},
                    {"route", call.route},
                    {"target", call.target_id},
                    {"reason", reason.message}});
    }

    asio::io_context& context;
    connection_pool& connections;
    socket_address address;
    response_link& link;
    sidecar_metrics& metrics;
    rollout_evidence& evidence;
    state_function report_state;
    decaying_failure_rate failures;
    target_reach reach;
    std::optional<target_record> target;
    /// What the target stated in its last response, or to a sender before its first response here.
    target_notice notice;
    bool has_notice = false;
    std::string blocked_version;
    bool is_zone_evacuated = false;
    std::optional<double> cold_rate;
    warm_up warming;
    /// The limit that the queue applies.
    std::optional<double> rate_limit;
    gate_queue queue;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters;
    recent_ids forwarded_ids;
    std::uint64_t last_number = 0;
};

target_gate::target_gate(asio::io_context& context, connection_pool& connections,
                         socket_address target, response_link& link, sidecar_metrics& metrics,
                         rollout_evidence& evidence, state_function report_state)
    : self(std::make_unique<implementation>(context, connections, std::move(target), link, metrics,
                                            evidence, std::move(report_state))) {}

target_gate::~target_gate() = default;

asio::awaitable<gate_answer> target_gate::run(gate_call call, http_request request) {
    return this->self->run(std::move(call), std::move(request));
}

void target_gate::set_target(std::optional<target_record> const& target) {
    this->self->set_target(target);
}

void target_gate::set_blocked_version(std::string version) {
    this->self->set_blocked_version(std::move(version));
}

void target_gate::set_zone_evacuated(bool is_evacuated) {
    this->self->set_zone_evacuated(is_evacuated);
}

void target_gate::set_terms(service_terms const& terms) {
    this->self->set_terms(terms);
}

void target_gate::observe_warm_up(milliseconds remaining) {
    this->self->observe_warm_up(remaining);
}

void target_gate::set_stop_time(boot_time at) {
    this->self->set_stop_time(at);
}

bool target_gate::is_target_at_work() const {
    return this->self->is_target_at_work();
}

gate_load target_gate::load(std::string const& route) const {
    return this->self->load(route);
}

} // namespace peridot
