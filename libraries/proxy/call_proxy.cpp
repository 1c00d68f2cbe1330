#include "proxy/call_proxy.h"

#include "http/connection_pool.h"
#include "observability/counter.h"
#include "observability/latency_histogram.h"
#include "proxy/attempt_reader.h"
#include "proxy/call_router.h"
#include "proxy/duplicate_guard.h"
#include "proxy/endpoint_router.h"
#include "proxy/header_names.h"
#include "proxy/limit_hold.h"
#include "proxy/move_choice.h"
#include "proxy/move_recorder.h"
#include "proxy/node_state.h"
#include "proxy/refusal.h"
#include "proxy/request_metrics.h"
#include "proxy/span_recorder.h"
#include "proxy/worker_context.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace peridot {

namespace {

namespace asio = boost::asio;

// Between two looks for an endpoint while a service has none, such as between the death of its last
// target and the announcement of the next one.
constexpr milliseconds endpoint_poll{20};
// Time to give an Idempotency-Key back after the request was not run.
constexpr milliseconds release_timeout{500};

steady_time now() {
    return std::chrono::steady_clock::now();
}

// Counts an attempt at its endpoint until it ends; a cancelled attempt ends as neutral.
class attempt_in_flight {
public:
    attempt_in_flight(endpoint_selector& chosen_by, endpoint_router::member_pointer chosen)
        : selector(chosen_by), endpoint(std::move(chosen)) {
        this->selector.begin(*this->endpoint, now());
    }
    ~attempt_in_flight() { this->selector.finish(*this->endpoint, this->seen, now()); }
    attempt_in_flight(attempt_in_flight const&) = delete;
    attempt_in_flight& operator=(attempt_in_flight const&) = delete;
    attempt_in_flight(attempt_in_flight&&) = delete;
    attempt_in_flight& operator=(attempt_in_flight&&) = delete;

    attempt_observation seen{endpoint_verdict::neutral, std::nullopt};

private:
    endpoint_selector& selector;
    endpoint_router::member_pointer endpoint;
};

} // namespace

class call_proxy::implementation {
public:
    explicit implementation(worker_context const& worker) : context(worker), endpoints(worker) {}

    asio::awaitable<http_response> respond(http_request request) {
        auto const started = now();
        auto answer = co_await this->answer(std::move(request), started);
        this->count(answer);
        this->context.metrics.call_duration.record(now() - started);
        co_return answer;
    }

private:
    asio::awaitable<http_response> answer(http_request request, steady_time started) {
        auto routed = route_call(this->context.state, request, this->new_request_id(), started);
        if (!is_ok(routed)) {
            co_return make_refusal(failure(routed), name(attempt_outcome::not_run));
        }
        auto& call = value(routed);
        span_recorder trace(this->context, this->random, "call " + call.grant->service,
                            span_kind::server, request.headers.value(header_names::trace_parent));
        trace.add("peridot.request_id", call.request_id);
        limit_hold hold;
        auto const wait = hold.take(this->context.state, call, started);
        if (wait > nanoseconds::zero()) {
            this->context.metrics.limited.add();
            co_return refuse_over_limit(wait);
        }
        prepare(call, request);
        request.headers.set(header_names::trace_parent, trace.trace_parent());
        auto reply = co_await this->run_once_per_key(call, std::move(request));
        trace.add("http.status_code", std::int64_t{reply.status});
        trace.set_status(reply.status < 500 ? span_status::ok : span_status::error);
        reply.headers.set(header_names::request_id, call.request_id);
        co_return reply;
    }

    static http_response refuse_over_limit(nanoseconds wait) {
        auto refused = make_refusal({result_code::request_limit_exceeded,
                                     "the workspace's limit for the service is used up"},
                                    name(attempt_outcome::not_run));
        auto const whole_seconds = std::chrono::ceil<seconds>(wait).count();
        refused.headers.set(header_names::retry_after,
                            std::to_string(std::max<std::int64_t>(1, whole_seconds)));
        return refused;
    }

    // The fields that are the same for every attempt.
    static void prepare(routed_call const& call, http_request& request) {
        request.target = call.path;
        request.headers.remove(header_names::authorization);
        request.headers.set(header_names::request_id, call.request_id);
        request.headers.set(header_names::workspace, call.terms->workspace);
        request.headers.set(header_names::service, call.grant->service);
        request.headers.set(header_names::request_class,
                            call.matched->traffic_class == request_class::background
                                ? "background"
                                : "interactive");
        request.headers.set(header_names::configuration_version,
                            std::to_string(call.snapshot->version()));
    }

    // A request with an Idempotency-Key on a route that deduplicates goes on only once it holds the
    // key.
    asio::awaitable<http_response> run_once_per_key(routed_call& call, http_request request) {
        std::string const key(request.headers.value(header_names::idempotency_key));
        if (!call.matched->deduplicates || key.empty()) {
            co_return co_await this->run_attempts(call, std::move(request));
        }
        duplicate_guard guard(this->context.table);
        auto const claimed = co_await guard.claim(call.terms->workspace, call.grant->service, key,
                                                  call.request_id, call.end.at);
        if (!is_ok(claimed)) {
            co_return make_refusal(failure(claimed), name(attempt_outcome::not_run));
        }
        auto reply = co_await this->run_attempts(call, std::move(request));
        bool const is_not_run = parse_attempt_outcome(reply.headers.value(header_names::outcome)) ==
                                attempt_outcome::not_run;
        if (is_not_run) {
            co_await guard.release(now() + release_timeout);
        }
        co_return reply;
    }

    asio::awaitable<http_response> run_attempts(routed_call& call, http_request request) {
        auto& budget = this->endpoints.budget(call.grant->service);
        budget.record_request();
        std::vector<endpoint_router::member_pointer> tried;
        unsigned attempt = call.attempt;
        for (;;) {
            auto const chosen = co_await this->wait_for_endpoint(call, tried);
            if (!is_ok(chosen)) {
                co_return make_refusal(failure(chosen), name(attempt_outcome::not_run));
            }
            auto outcome = co_await this->run_attempt(call, request, value(chosen), attempt);
            if (!outcome.failed) {
                co_return std::move(outcome.answer);
            }
            tried.push_back(value(chosen));
            auto const decision = decide_retry(*outcome.failed, call.kind, call.end, budget,
                                               this->options, now(), this->random);
            if (auto const* final_answer = std::get_if<give_up>(&decision)) {
                co_return conclude(std::move(outcome.answer), *final_answer);
            }
            auto const& retry = std::get<retry_elsewhere>(decision);
            this->context.metrics.retries.add();
            attempt = retry.attempt;
            co_await this->pause(retry.delay);
        }
    }

    static http_response conclude(http_response answer, give_up const& decision) {
        answer.headers.set(header_names::outcome, name(decision.outcome));
        answer.headers.set(header_names::code,
                           std::to_string(static_cast<unsigned>(decision.code)));
        answer.headers.set(header_names::attempt, std::to_string(decision.attempt));
        return answer;
    }

    // Nothing has been sent while this waits. A lookup may wait, but it must answer: the wait ends
    // with the call's deadline.
    asio::awaitable<result<endpoint_router::member_pointer>>
    wait_for_endpoint(routed_call& call, std::vector<endpoint_router::member_pointer>& tried) {
        for (;;) {
            if (call.move) {
                update_target_version(call, *this->context.directory.load(), now());
            }
            auto& selector =
                this->endpoints.selector(call.grant->service, call.target_version, now());
            auto chosen = selector.choose(tried, now(), this->random);
            if (is_ok(chosen)) {
                co_return chosen;
            }
            if (!tried.empty()) {
                // Every endpoint was tried once; the decision to retry still holds.
                tried.clear();
                continue;
            }
            if (time_left(call.end, now()) <= endpoint_poll) {
                co_return chosen;
            }
            co_await this->pause(endpoint_poll);
        }
    }

    asio::awaitable<attempt_result> run_attempt(routed_call const& call,
                                                http_request const& request,
                                                endpoint_router::member_pointer endpoint,
                                                unsigned attempt) {
        auto& selector = this->endpoints.selector(call.grant->service, call.target_version, now());
        attempt_in_flight in_flight(selector, endpoint);
        auto sent = request;
        sent.headers.set(header_names::target_version, call.target_version);
        sent.headers.set(header_names::attempt, std::to_string(attempt));
        sent.headers.set(header_names::deadline,
                         format_time_left(time_left_for_next_hop(call.end, now())));
        socket_address const address{endpoint->ip, endpoint->peer_port};
        auto const reuse = call.kind == idempotence::idempotent ? connection_reuse::any
                                                                : connection_reuse::recent_only;
        auto const begun = now();
        auto outcome = co_await this->context.connections.exchange(address, std::move(sent),
                                                                   call.end.at, reuse);
        auto seen = read_attempt_result(std::move(outcome), call.request_id, attempt);
        in_flight.seen = seen.seen;
        auto const ended = now();
        this->moves.record(call, seen, attempt, ended - begun, ended);
        co_return seen;
    }

    asio::awaitable<void> pause(nanoseconds duration) {
        asio::steady_timer timer(co_await asio::this_coro::executor, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    std::string new_request_id() {
        return this->context.state.instance + "-" + std::to_string(this->random());
    }

    void count(http_response const& reply) {
        auto const outcome = parse_attempt_outcome(reply.headers.value(header_names::outcome));
        auto& metrics = this->context.metrics;
        (outcome == attempt_outcome::run       ? metrics.answered
         : outcome == attempt_outcome::not_run ? metrics.not_run
                                               : metrics.unknown)
            .add();
    }

    worker_context const& context;
    endpoint_router endpoints;
    move_recorder moves;
    retry_options options;
    random_source random = make_random_source();
};

call_proxy::call_proxy(worker_context const& context)
    : self(std::make_unique<implementation>(context)) {}

call_proxy::~call_proxy() = default;

asio::awaitable<http_response> call_proxy::respond(http_request request) {
    return this->self->respond(std::move(request));
}

} // namespace peridot
