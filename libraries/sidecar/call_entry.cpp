#include "sidecar/call_entry.h"

#include "core/log.h"
#include "http/body_stream.h"
#include "http/connection_pool.h"
#include "mesh/caller_wait_estimator.h"
#include "mesh/fleet_retry_budget.h"
#include "mesh/link_request.h"
#include "mesh/mesh_configuration.h"
#include "mesh/mesh_route.h"
#include "mesh/share_selector.h"
#include "mesh/target_corrections.h"
#include "mesh/target_notices.h"
#include "mesh/target_selector.h"
#include "mesh/version_share.h"
#include "mesh/workspace.h"
#include "observability/counter.h"
#include "observability/latency_histogram.h"
#include "platform/messages.h"
#include "sidecar/body_limits.h"
#include "sidecar/hop_message.h"
#include "sidecar/quota_agent.h"
#include "sidecar/request_placement.h"
#include "sidecar/response_link.h"
#include "sidecar/sidecar_metrics.h"
#include "sidecar/target_gate.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <optional>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr milliseconds connect_timeout{250};
// A remote node responds at the deadline on its own; this is the extra time for its response to
// arrive.
constexpr milliseconds hop_margin{30};
// Maximum number of offers per request, including those that are refused for load.
constexpr unsigned max_offers = 6;
// Maximum number of offers beyond these to gates without a usable target. They respond at once, and
// a target in service may be the last one that is found.
constexpr unsigned max_uncounted_offers = 12;
// For a caller that sets no deadline, only the route's timeout limits the request.
constexpr milliseconds max_caller_wait{120'000};
constexpr milliseconds unready_retry_after{300};
constexpr milliseconds no_target_retry_after{250};
constexpr milliseconds min_quota_retry_after{20};
constexpr unsigned first_failure_status = 500;

namespace status_codes {
constexpr unsigned malformed = 400;
constexpr unsigned unauthenticated = 401;
constexpr unsigned no_route = 404;
constexpr unsigned over_quota = 429;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;
} // namespace status_codes

} // namespace

class call_entry::implementation {
public:
    implementation(node_identity own, deployment_bounds const& bounds,
                   rcu_cell<fleet_view> const& fleet, connection_pool& pool, target_gate& own_gate,
                   quota_agent& node_quotas, response_link& instance_link,
                   sidecar_metrics& node_metrics, newer_configuration_handler handler)
        : identity(std::move(own))
        , views(fleet)
        , connections(pool)
        , gate(own_gate)
        , quotas(node_quotas)
        , link(instance_link)
        , metrics(node_metrics)
        , report_newer_configuration(std::move(handler))
        , retry_budget({bounds.retry_ratio, bounds.retry_extra})
        , selector(this->identity.availability_zone) {}

    asio::awaitable<http_response> respond(http_request request) {
        auto const arrived = boot_clock::now();
        auto const caller = read_request_metadata(request);
        if (!caller) {
            co_return make_local_answer(status_codes::malformed, {}, std::nullopt);
        }
        auto view = this->views.load();
        if (!view || !view->configuration) {
            co_return make_local_answer(status_codes::unavailable, caller->attempt_id,
                                        unready_retry_after);
        }
        auto const* route = view->configuration->find(request.host, request.target);
        if (route == nullptr) {
            this->metrics.unrouted_requests.add();
            log::write(
                log::level::info, "request_without_route",
                {{"request", caller->attempt_id},
                 {"host", request.host},
                 {"path", request.target},
                 {"configuration", static_cast<std::int64_t>(view->configuration->version())}});
            co_return make_local_answer(status_codes::no_route, caller->attempt_id, std::nullopt);
        }
        std::string key = read_workspace_key(request);
        auto const caller_workspace = this->identify(key, *view->configuration, *route);
        if (!caller_workspace) {
            co_return this->refuse_unauthenticated(*caller, *route);
        }
        if (view->configuration->has_workspaces()) {
            write_workspace(request, caller_workspace->name);
        }
        auto const quota = co_await this->quotas.acquire(caller_workspace->name);
        auto const* admitted = std::get_if<quota_admission>(&quota);
        if (admitted == nullptr) {
            co_return this->refuse_for_quota(quota, *caller, *caller_workspace);
        }
        request_placement placement;
        placement.view = view;
        placement.configuration = view->configuration;
        placement.route = route;
        placement.service = this->share_choices.choose_service(*route);
        // Each offer shares the body instead of copying it.
        if (!request.body.empty()) {
            request.shared_body = std::make_shared<std::string const>(std::move(request.body));
            request.body.clear();
        }
        placement.request = std::move(request);
        placement.arrived = arrived;
        placement.retry_after = no_target_retry_after;
        placement.key = std::move(key);
        placement.call.workspace = caller_workspace->name;
        placement.call.workspace_priority = caller_workspace->priority;
        this->prepare_call(placement, *caller);
        this->retry_budget.record_request(placement.service, route->name, *view, arrived);
        auto answer = co_await this->place_or_abort(placement);
        if (admitted->token && placement.sends == 0 && !placement.may_have_run) {
            this->quotas.give_back(*admitted->token);
        }
        this->metrics.request_duration.record(boot_clock::now() - arrived);
        this->log_outcome(placement, answer);
        co_return answer;
    }

    void abort_requests() { this->is_aborting = true; }

private:
    // Returns the workspace of a request, which has no name if the request needs none; no value if
    // the request has to be refused.
    static std::optional<workspace> identify(std::string const& key,
                                             mesh_configuration const& configuration,
                                             mesh_route const& route) {
        if (!configuration.has_workspaces()) {
            return workspace{};
        }
        auto const* found = key.empty() ? nullptr : configuration.find_workspace(key);
        if (found != nullptr) {
            return *found;
        }
        return route.is_public ? std::optional(workspace{}) : std::nullopt;
    }

    http_response refuse_unauthenticated(request_metadata const& caller, mesh_route const& route) {
        this->metrics.unauthenticated_requests.add();
        log::write(log::level::info, "request_unauthenticated",
                   {{"request", caller.attempt_id}, {"route", route.name}});
        return make_local_answer(status_codes::unauthenticated, caller.attempt_id, std::nullopt);
    }

    http_response refuse_for_quota(quota_decision const& decision, request_metadata const& caller,
                                   workspace const& owner) const {
        auto const* exceeded = std::get_if<quota_exceeded>(&decision);
        log::write(log::level::info, exceeded != nullptr ? "request_over_quota" : "quota_unknown",
                   {{"request", caller.attempt_id}, {"workspace", owner.name}});
        if (exceeded == nullptr) {
            return make_local_answer(status_codes::unavailable, caller.attempt_id,
                                     unready_retry_after);
        }
        return make_local_answer(status_codes::over_quota, caller.attempt_id,
                                 std::max(exceeded->retry_after, min_quota_retry_after));
    }

    // Logs one line per request with its outcome and the configuration version that was used.
    void log_outcome(request_placement const& placement, http_response const& answer) const {
        auto const held =
            std::chrono::duration_cast<milliseconds>(boot_clock::now() - placement.arrived);
        bool const is_success = answer.status < first_failure_status;
        log::write(
            log::level::info, is_success ? "request_answered" : "request_not_answered",
            {{"request", placement.call.attempt_id},
             {"route", placement.call.route},
             {"service", placement.service},
             {"instance", placement.last.instance},
             {"status", static_cast<std::int64_t>(answer.status)},
             {"reason", std::string(name(placement.reason))},
             {"offers", static_cast<std::int64_t>(placement.offers)},
             {"offers_overloaded", static_cast<std::int64_t>(placement.overloaded_offers)},
             {"offers_unavailable", static_cast<std::int64_t>(placement.unavailable_offers)},
             {"sends", static_cast<std::int64_t>(placement.sends)},
             {"held_ms", held.count()},
             {"configuration", static_cast<std::int64_t>(placement.configuration->version())}});
    }

    void prepare_call(request_placement& placement, request_metadata const& caller) {
        auto& call = placement.call;
        auto const waited = caller.time_left
                                ? this->deadlines.observe(placement.route->name, *caller.time_left,
                                                          placement.arrived)
                                : milliseconds(0);
        auto const left =
            std::min(caller.time_left.value_or(max_caller_wait), placement.route->timeout);
        call.attempt_id = caller.attempt_id;
        call.route = placement.route->name;
        call.kind = placement.route->kind;
        call.priority = placement.route->priority;
        call.calling_service = this->identity.service;
        call.sender = this->identity.ip;
        call.deadline = placement.arrived + left;
        call.soft_deadline =
            placement.arrived +
            std::clamp(placement.route->target_latency - waited, milliseconds(0), left);
    }

    asio::awaitable<http_response> place_or_abort(request_placement& placement) {
        try {
            co_return co_await this->place(placement);
        } catch (boost::system::system_error const& ended) {
            if (!this->is_aborting || ended.code() != asio::error::operation_aborted) {
                throw;
            }
        }
        placement.reason = result_code::request_outcome_unknown;
        co_return make_local_answer(status_codes::bad_gateway, placement.call.attempt_id,
                                    std::nullopt);
    }

    asio::awaitable<http_response> place(request_placement& placement) {
        // Whichever target answers, the response leaves over the link of this instance.
        if (auto const refused = this->check_link(placement.call, placement.arrived)) {
            placement.reason = refused->reason;
            placement.retry_after = std::max(refused->retry_after, no_target_retry_after);
            co_return this->make_final_answer(placement);
        }
        while (placement.offers <
               max_offers + std::min(placement.uncounted_offers, max_uncounted_offers)) {
            auto const now = boot_clock::now();
            if (now >= placement.call.deadline) {
                break;
            }
            auto const choice = this->choose(placement, now);
            if (!choice) {
                break;
            }
            if (!this->is_still_authorized(placement)) {
                placement.reason = result_code::request_unauthenticated;
                break;
            }
            member const chosen = this->corrections.apply(*choice->chosen);
            ++placement.offers;
            placement.last.at = now;
            placement.last.instance = chosen.instance;
            placement.call.target_id = chosen.target.id;
            placement.call.rate_limit = this->notices.find(chosen.target).rate_limit;
            placement.call.finish_by = choice->limit == wait_limit::target_latency
                                           ? placement.call.soft_deadline
                                           : placement.call.deadline;
            log::write(log::level::debug, "request_offered",
                       {{"request", placement.call.attempt_id},
                        {"route", placement.call.route},
                        {"instance", chosen.instance},
                        {"in_time", choice->limit == wait_limit::target_latency},
                        {"refused_before", std::string(name(placement.reason))}});
            auto answer = co_await this->offer(chosen, placement);
            auto const state = co_await asio::this_coro::cancellation_state;
            placement.is_cancelled = state.cancelled() != asio::cancellation_type::none;
            auto final = std::visit(
                [&](auto& outcome) {
                    return this->handle_outcome(outcome, chosen, choice->limit, placement);
                },
                answer);
            if (final) {
                co_return std::move(*final);
            }
        }
        co_return this->make_final_answer(placement);
    }

    std::optional<gate_refusal> check_link(gate_call const& call, boot_time now) const {
        auto const available = now + this->link.remote_answer_time(call.route);
        return this->link.find_refusal({call.route, available, call.soft_deadline, call.deadline});
    }

    // A key may be withdrawn or given to another workspace while its request waits or is retried.
    static bool is_still_authorized(request_placement& placement) {
        auto const& latest = placement.view->configuration;
        if (!latest || latest == placement.configuration) {
            return true;
        }
        auto const current = identify(placement.key, *latest, *placement.route);
        if (!current) {
            return false;
        }
        if (current->name != placement.call.workspace) {
            write_workspace(placement.request, current->name);
            placement.call.workspace = current->name;
        }
        placement.call.workspace_priority = current->priority;
        return true;
    }

    std::optional<target_choice> choose(request_placement& placement, boot_time now) {
        // Members can change while a request is in flight, so the latest view is used.
        placement.view = this->views.load();
        auto const found = placement.view->members.find(placement.service);
        if (found == placement.view->members.end()) {
            return std::nullopt;
        }
        auto const rollout_entry = placement.view->rollouts.find(placement.service);
        auto const* current =
            rollout_entry == placement.view->rollouts.end() ? nullptr : &rollout_entry->second;
        auto const shares = version_shares(found->second, current);
        if (!shares.contains(placement.version)) {
            placement.version = this->share_choices.choose_version(placement.service, shares);
        }
        auto const versions = versions_to_try(placement.version, found->second, current);
        bool has_active_member = false;
        bool has_evacuated_member = false;
        auto const leave_out_evacuated = [&](std::vector<member const*> members) {
            auto const removed = std::erase_if(members, [&](member const* candidate) {
                return placement.view->evacuated_zones.contains(candidate->availability_zone);
            });
            has_evacuated_member = has_evacuated_member || removed > 0;
            return members;
        };
        for (auto const& version : versions) {
            auto const candidates =
                leave_out_evacuated(active_members(found->second, version, current));
            has_active_member = has_active_member || !candidates.empty();
            if (auto choice = this->choose_among(candidates, placement, now)) {
                return choice;
            }
        }
        if (has_active_member) {
            return std::nullopt;
        }
        // Nothing else is left, and a target may be back before its record says so.
        for (auto const& version : versions) {
            auto const candidates =
                leave_out_evacuated(unreachable_members(found->second, version));
            if (auto choice = this->choose_among(candidates, placement, now)) {
                return choice;
            }
        }
        if (has_evacuated_member) {
            this->report_no_zone_left(placement);
        }
        return std::nullopt;
    }

    // All targets that the service has left are in evacuated zones.
    void report_no_zone_left(request_placement& placement) const {
        placement.reason = result_code::request_zone_evacuated;
        this->metrics.evacuation_refusals.add();
        log::write(log::level::warning, "evacuation_leaves_no_target",
                   {{"request", placement.call.attempt_id}, {"service", placement.service}});
    }

    std::optional<target_choice> choose_among(std::vector<member const*> candidates,
                                              request_placement const& placement, boot_time now) {
        std::erase_if(candidates, [this](member const* candidate) {
            return this->notices.find(candidate->target).is_leaving;
        });
        return this->selector.choose(candidates, placement.call.route, placement.attempts, now,
                                     this->random);
    }

    asio::awaitable<gate_answer> offer(member const& chosen, request_placement const& placement) {
        in_flight_count const counted(this->selector, chosen.instance);
        if (chosen.instance == this->identity.instance) {
            auto own = co_await this->gate.run(placement.call, placement.request);
            this->selector.observe_load(chosen.instance, placement.call.route,
                                        this->gate.load(placement.call.route), boot_clock::now());
            co_return own;
        }
        auto const offered = boot_clock::now();
        auto reservation = this->link.reserve(
            placement.call.route, offered + this->link.remote_answer_time(placement.call.route));
        http_request request = placement.request;
        write_hop_call(request, placement.call, boot_clock::now());
        exchange_options options;
        options.reuse = placement.call.kind == request_kind::idempotent
                            ? connection_reuse::any
                            : connection_reuse::recent_only;
        options.connect_timeout = connect_timeout;
        options.whole_body_bytes = max_whole_body_bytes;
        socket_address const address{chosen.ip, this->identity.peer_port};
        auto outcome = co_await this->connections.exchange(
            address, std::move(request), to_steady_time(placement.call.deadline + hop_margin),
            options);
        if (auto const* failed = std::get_if<exchange_failure>(&outcome)) {
            if (failed->progress == exchange_progress::not_sent) {
                co_return gate_unreachable{failed->reason};
            }
            co_return gate_unknown{failed->reason};
        }
        auto answer = extract_hop_answer(std::move(std::get<http_response>(outcome)));
        if (answer.state) {
            this->selector.observe_load(chosen.instance, placement.call.route, answer.state->load,
                                        boot_clock::now());
            if (answer.state->configuration > placement.configuration->version()) {
                this->report_newer_configuration(chosen.ip, answer.state->configuration);
            }
        }
        if (auto const* ran = std::get_if<gate_ran>(&answer.answer)) {
            this->link.observe_remote_answer(placement.call.route, boot_clock::now() - offered);
            co_await this->link.await_turn(placement.call.route, ran->answer,
                                           std::move(reservation));
        }
        co_return std::move(answer.answer);
    }

    // Each overload returns the final response, or nothing if the request may be offered to another
    // member.
    std::optional<http_response> handle_outcome(gate_ran& ran, member const& chosen,
                                                wait_limit /*limit*/,
                                                request_placement& placement) {
        ++placement.sends;
        this->observe_notice(chosen, ran.answer);
        bool const is_failure = ran.answer.status >= first_failure_status;
        // A timeout reflects the remaining time set by the caller rather than the health of the
        // target.
        if (ran.answer.status != status_codes::gateway_timeout) {
            this->observe(chosen,
                          is_failure ? target_observation::failed : target_observation::succeeded);
        }
        if (!is_failure) {
            this->metrics.answered_requests.add();
            placement.reason = result_code::ok;
            if (ran.answer.rest) {
                this->observe_transfer(*ran.answer.rest, chosen, placement);
            }
            return std::move(ran.answer);
        }
        log::write(log::level::info, "target_failed",
                   {{"request", placement.call.attempt_id},
                    {"route", placement.call.route},
                    {"instance", chosen.instance},
                    {"status", static_cast<std::int64_t>(ran.answer.status)}});
        if (this->may_retry(placement)) {
            placement.failure = std::move(ran.answer);
            placement.attempts.excluded.insert(chosen.instance);
            return std::nullopt;
        }
        this->metrics.failed_requests.add();
        return std::move(ran.answer);
    }

    std::optional<http_response> handle_outcome(gate_target_refusal& refused, member const& chosen,
                                                wait_limit /*limit*/,
                                                request_placement& placement) {
        ++placement.sends;
        this->observe_notice(chosen, refused.answer);
        this->observe(chosen, target_observation::failed);
        placement.attempts.excluded.insert(chosen.instance);
        placement.reason = result_code::request_overloaded;
        log::write(log::level::info, "target_refused",
                   {{"request", placement.call.attempt_id},
                    {"instance", chosen.instance},
                    {"status", static_cast<std::int64_t>(refused.answer.status)}});
        if (placement.sends < placement.route->attempts && this->try_take_retry(placement)) {
            return std::nullopt;
        }
        return this->make_final_answer(placement);
    }

    std::optional<http_response> handle_outcome(gate_refusal const& refused, member const& chosen,
                                                wait_limit limit, request_placement& placement) {
        placement.reason = refused.reason;
        switch (refused.reason) {
        case result_code::request_overloaded:
            ++placement.overloaded_offers;
            this->observe(chosen, target_observation::busy);
            if (limit == wait_limit::target_latency) {
                placement.attempts.busy.insert(chosen.instance);
            } else {
                placement.attempts.excluded.insert(chosen.instance);
            }
            placement.retry_after = std::max(refused.retry_after, no_target_retry_after);
            break;
        case result_code::request_deadline_exceeded:
            placement.attempts.excluded.insert(chosen.instance);
            break;
        case result_code::request_misdirected:
            if (refused.actual_target && this->corrections.record(chosen, *refused.actual_target)) {
                ++placement.uncounted_offers;
                break;
            }
            [[fallthrough]];
        default:
            ++placement.unavailable_offers;
            ++placement.uncounted_offers;
            this->observe(chosen, target_observation::draining);
            placement.attempts.excluded.insert(chosen.instance);
            break;
        }
        return std::nullopt;
    }

    std::optional<http_response> handle_outcome(gate_unknown const& unknown, member const& chosen,
                                                wait_limit /*limit*/,
                                                request_placement& placement) {
        ++placement.sends;
        placement.may_have_run = true;
        auto const now = boot_clock::now();
        this->selector.observe_unanswered(
            chosen.instance, placement.call.route,
            std::chrono::duration_cast<milliseconds>(now - placement.last.at), now);
        if (placement.is_cancelled) {
            // This node cancelled the exchange, so only its duration is meaningful.
            placement.reason = result_code::request_cancelled;
            return this->make_final_answer(placement);
        }
        bool const is_expired = now >= placement.call.deadline;
        this->observe(chosen,
                      is_expired ? target_observation::failed : target_observation::unreachable);
        placement.attempts.excluded.insert(chosen.instance);
        log::write(log::level::warning, "request_outcome_unknown",
                   {{"request", placement.call.attempt_id},
                    {"route", placement.call.route},
                    {"instance", chosen.instance},
                    {"reason", unknown.reason.message}});
        if (!is_expired && this->may_retry(placement)) {
            return std::nullopt;
        }
        return this->make_final_answer(placement);
    }

    std::optional<http_response> handle_outcome(gate_unreachable const& /*unreachable*/,
                                                member const& chosen, wait_limit /*limit*/,
                                                request_placement& placement) {
        ++placement.unavailable_offers;
        this->observe(chosen, target_observation::unreachable);
        placement.attempts.excluded.insert(chosen.instance);
        return std::nullopt;
    }

    bool try_take_retry(request_placement const& placement) {
        return this->retry_budget.try_take(placement.service, placement.call.route, *placement.view,
                                           boot_clock::now());
    }

    bool may_retry(request_placement const& placement) {
        bool const is_allowed = placement.call.kind == request_kind::idempotent &&
                                placement.sends < placement.route->attempts &&
                                boot_clock::now() < placement.call.deadline &&
                                this->try_take_retry(placement);
        this->metrics.retried_requests.add(is_allowed ? 1 : 0);
        return is_allowed;
    }

    // Builds the response for a request that no further member can be tried for.
    http_response make_final_answer(request_placement& placement) const {
        if (placement.failure) {
            this->metrics.failed_requests.add();
            return std::move(*placement.failure);
        }
        if (placement.reason == result_code::request_unauthenticated && !placement.may_have_run) {
            this->metrics.unauthenticated_requests.add();
            return make_local_answer(status_codes::unauthenticated, placement.call.attempt_id,
                                     std::nullopt);
        }
        bool const is_expired = boot_clock::now() >= placement.call.deadline;
        unsigned status = status_codes::unavailable;
        if (placement.may_have_run) {
            status = is_expired ? status_codes::gateway_timeout : status_codes::bad_gateway;
        }
        (placement.may_have_run ? this->metrics.unknown_outcomes : this->metrics.refused_requests)
            .add();
        auto const retry_after =
            placement.may_have_run ? std::nullopt : std::optional(placement.retry_after);
        return make_local_answer(status, placement.call.attempt_id, retry_after);
    }

    void observe(member const& chosen, target_observation observed) {
        this->selector.observe(chosen.instance, observed, boot_clock::now());
    }

    // The caller sees a body that ends early; the request cannot be sent elsewhere any more.
    void observe_transfer(body_stream& rest, member const& chosen,
                          request_placement const& placement) {
        rest.add_end_handler([this, instance = chosen.instance,
                              request = placement.call.attempt_id](body_outcome outcome) {
            if (outcome != body_outcome::failed) {
                return;
            }
            this->metrics.interrupted_responses.add();
            this->selector.observe(instance, target_observation::failed, boot_clock::now());
            log::write(log::level::warning, "response_interrupted",
                       {{"request", request}, {"instance", instance}});
        });
    }

    void observe_notice(member const& chosen, http_response const& answer) {
        if (auto const notice = read_target_notice(answer)) {
            this->notices.observe(chosen.target, *notice);
        }
    }

    // Counts a request as in flight to a member for the lifetime of the object.
    class in_flight_count {
    public:
        in_flight_count(target_selector& counts, std::string instance)
            : counts(counts), instance(std::move(instance)) {
            this->counts.start(this->instance);
        }
        ~in_flight_count() { this->counts.finish(this->instance); }
        in_flight_count(in_flight_count const&) = delete;
        in_flight_count& operator=(in_flight_count const&) = delete;
        in_flight_count(in_flight_count&&) = delete;
        in_flight_count& operator=(in_flight_count&&) = delete;

    private:
        target_selector& counts;
        std::string instance;
    };

    node_identity identity;
    rcu_cell<fleet_view> const& views;
    connection_pool& connections;
    target_gate& gate;
    quota_agent& quotas;
    response_link& link;
    sidecar_metrics& metrics;
    newer_configuration_handler report_newer_configuration;
    fleet_retry_budget retry_budget;
    target_selector selector;
    target_corrections corrections;
    target_notices notices;
    caller_wait_estimator deadlines;
    random_source random = make_random_source();
    share_selector share_choices;
    bool is_aborting = false;
};

call_entry::call_entry(node_identity identity, deployment_bounds const& bounds,
                       rcu_cell<fleet_view> const& views, connection_pool& connections,
                       target_gate& gate, quota_agent& quotas, response_link& link,
                       sidecar_metrics& metrics,
                       newer_configuration_handler report_newer_configuration)
    : self(std::make_unique<implementation>(std::move(identity), bounds, views, connections, gate,
                                            quotas, link, metrics,
                                            std::move(report_newer_configuration))) {}

call_entry::~call_entry() = default;

asio::awaitable<http_response> call_entry::respond(http_request request) {
    return this->self->respond(std::move(request));
}

void call_entry::abort_requests() {
    this->self->abort_requests();
}

} // namespace peridot
