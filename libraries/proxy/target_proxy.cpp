#include "proxy/target_proxy.h"

#include "admission/admission_controller.h"
#include "http/connection_pool.h"
#include "observability/counter.h"
#include "observability/latency_histogram.h"
#include "proxy/admission_slot.h"
#include "proxy/header_names.h"
#include "proxy/node_state.h"
#include "proxy/refusal.h"
#include "proxy/request_metrics.h"
#include "proxy/span_recorder.h"
#include "proxy/worker_context.h"
#include "routing/attempt_outcome.h"
#include "routing/deadline.h"

namespace peridot {

namespace {

namespace asio = boost::asio;

steady_time now() {
    return std::chrono::steady_clock::now();
}

} // namespace

class target_proxy::implementation {
public:
    explicit implementation(worker_context const& worker) : context(worker) {}

    asio::awaitable<http_response> respond(http_request request) {
        std::string const request_id(request.headers.value(header_names::request_id));
        std::string const attempt(request.headers.value(header_names::attempt));
        auto const target = this->context.state.target.load();
        auto answer = co_await this->dispatch(target, std::move(request));
        answer.headers.set(header_names::request_id, request_id);
        if (!answer.headers.contains(header_names::attempt)) {
            answer.headers.set(header_names::attempt, attempt);
        }
        if (target) {
            answer.headers.set(header_names::pressure,
                               std::to_string(target->admission->pressure()));
        }
        co_return answer;
    }

private:
    asio::awaitable<http_response> dispatch(std::shared_ptr<local_target const> target,
                                            http_request request) {
        auto const arrived = now();
        span_recorder trace(this->context, this->random, "target", span_kind::server,
                            request.headers.value(header_names::trace_parent));
        auto const left = parse_time_left(request.headers.value(header_names::deadline));
        auto const refused = this->check(target.get(), request, left);
        if (!is_ok(refused)) {
            co_return not_run(failure(refused));
        }
        auto const end = deadline_after(arrived, value(left));
        bool const is_background =
            request.headers.value(header_names::request_class) == "background";
        admission_request const wanted{is_background ? request_class::background
                                                     : request_class::interactive,
                                       end.at, arrived};
        admission_slot slot;
        auto const admitted = co_await slot.take(target->admission, wanted);
        if (!is_ok(admitted)) {
            this->context.metrics.refused_by_admission.add();
            co_return not_run(failure(admitted));
        }
        // The process may have been stopped while the request waited.
        if (is_expired(end, now())) {
            co_return not_run({result_code::request_deadline_exceeded, "no time is left"});
        }
        request.headers.set(header_names::trace_parent, trace.trace_parent());
        co_return co_await this->run(*target, std::move(request), end);
    }

    asio::awaitable<http_response> run(local_target const& target, http_request request,
                                       deadline end) {
        auto const dispatched = now();
        std::string const request_id(request.headers.value(header_names::request_id));
        request.headers.set(header_names::deadline, format_time_left(time_left(end, dispatched)));
        bool const is_safe = request.method == "GET" || request.method == "HEAD";
        auto outcome = co_await this->context.connections.exchange(
            target.address, std::move(request), end.at,
            is_safe ? connection_reuse::any : connection_reuse::recent_only);
        if (auto const* failed = std::get_if<exchange_failure>(&outcome)) {
            bool const is_sent = failed->progress == exchange_progress::sent;
            co_return make_refusal(failed->reason, name(is_sent ? attempt_outcome::unknown
                                                                : attempt_outcome::not_run));
        }
        this->context.metrics.target_duration.record(now() - dispatched);
        auto& answer = std::get<http_response>(outcome);
        auto const echoed = answer.headers.value(header_names::request_id);
        if (!echoed.empty() && echoed != request_id) {
            co_return make_refusal({result_code::request_answer_mismatched,
                                    "the target's answer belongs to another request"},
                                   name(attempt_outcome::unknown));
        }
        // A target that sheds load says so itself; docs/target-interface.md.
        bool const is_shed = answer.status == 503 &&
                             parse_attempt_outcome(answer.headers.value(header_names::outcome)) ==
                                 attempt_outcome::not_run;
        if (is_shed) {
            co_return not_run({result_code::request_overloaded, "the target sheds load"});
        }
        answer.headers.set(header_names::outcome, name(attempt_outcome::run));
        co_return std::move(answer);
    }

    static http_response not_run(error const& reason) {
        return make_refusal(reason, name(attempt_outcome::not_run));
    }

    status check(local_target const* target, http_request const& request,
                 result<milliseconds> const& left) const {
        if (this->context.state.is_draining.load(std::memory_order_relaxed) ||
            (target != nullptr && target->is_draining)) {
            return error{result_code::request_draining, "the instance is leaving"};
        }
        if (!this->context.state.is_ready.load(std::memory_order_relaxed)) {
            return error{result_code::request_not_ready, "the node holds no confirmed version"};
        }
        if (target == nullptr || request.headers.value(header_names::service) != target->service ||
            request.headers.value(header_names::target_version) != target->target_version) {
            return error{result_code::request_misdirected,
                         "no target of that service and version is beside this node"};
        }
        if (!is_ok(left)) {
            return failure(left);
        }
        if (value(left).count() <= 0) {
            return error{result_code::request_deadline_exceeded, "no time is left"};
        }
        return success();
    }

    worker_context const& context;
    random_source random = make_random_source();
};

target_proxy::target_proxy(worker_context const& context)
    : self(std::make_unique<implementation>(context)) {}

target_proxy::~target_proxy() = default;

asio::awaitable<http_response> target_proxy::respond(http_request request) {
    return this->self->respond(std::move(request));
}

} // namespace peridot
