#include "sidecar/sidecar_node.h"

#include "core/event_loop.h"
#include "core/log.h"
#include "core/rcu_cell.h"
#include "http/connection_pool.h"
#include "http/http_server.h"
#include "mesh/caller_limits.h"
#include "mesh/configuration_query_pacer.h"
#include "mesh/mesh_configuration.h"
#include "mesh/service_terms.h"
#include "observability/gauge.h"
#include "observability/metric_registry.h"
#include "platform/bounds.h"
#include "platform/messages.h"
#include "platform/store_client.h"
#include "settings/sidecar_settings.h"
#include "sidecar/call_entry.h"
#include "sidecar/commit_message.h"
#include "sidecar/fleet_sync.h"
#include "sidecar/hop_message.h"
#include "sidecar/quota_agent.h"
#include "sidecar/rollout_evidence.h"
#include "sidecar/rollout_steering.h"
#include "sidecar/sidecar_metrics.h"
#include "sidecar/target_announcements.h"
#include "sidecar/target_gate.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <csignal>
#include <thread>

namespace peridot {

namespace {

namespace asio = boost::asio;

// Callers detect within two readiness probes, one second apart, that a stopping node accepts no new
// requests.
constexpr milliseconds drain_notice_time{2300};
constexpr milliseconds stop_poll_period{20};
// Part of the stop timeout that is reserved for closing connections.
constexpr milliseconds stop_margin{400};
constexpr milliseconds close_delay{50};
constexpr milliseconds stopping_retry_after{200};
// A node that has a configuration but no target yet can still forward requests to other nodes.
constexpr milliseconds target_wait_time{2500};
constexpr std::size_t store_answer_bytes = std::size_t{8} * 1024 * 1024;
constexpr unsigned status_unavailable = 503;
constexpr std::string_view metrics_path = "/metrics";

// Converts the caller limits of the operator's configuration to server limits.
http_limits to_http_limits(caller_limits const& requested) {
    http_limits limits;
    limits.body_bytes = requested.body_bytes;
    limits.header_bytes = static_cast<std::uint32_t>(requested.header_bytes);
    limits.header_timeout = requested.header_timeout;
    limits.idle_timeout = requested.idle_timeout;
    return limits;
}

http_limits store_http_limits() {
    http_limits limits;
    limits.body_bytes = store_answer_bytes;
    return limits;
}

node_identity identity_of(sidecar_settings const& settings) {
    return {settings.instance, settings.ip, settings.availability_zone, settings.service,
            settings.peers.port};
}

} // namespace

class sidecar_node::implementation {
public:
    explicit implementation(sidecar_settings const& initial)
        : settings(initial)
        , bounds(read_bounds(initial.bounds))
        , connections(data_context, to_http_limits({}))
        , control_connections(control_context, store_http_limits())
        , store(control_connections, initial.store)
        , evidence(views, initial.service)
        , gate(data_context, connections, initial.target, metrics, evidence,
               [this](target_record const& observed) { this->record_state(observed); })
        , quotas(data_context, initial.instance, {initial.ip, initial.control_port},
                 bounds.quota_extra, views, metrics)
        , entry(identity_of(initial), bounds, views, connections, gate, quotas, metrics,
                [this](std::string const& ip, std::uint64_t version) {
                    this->request_newer_configuration(ip, version);
                })
        , fleet(control_context, control_connections, store, views, initial)
        , announcements(
              control_context, this->settings, fleet,
              [this](std::optional<target_record> target) {
                  return this->apply_target(std::move(target));
              },
              [this](milliseconds remaining) {
                  asio::post(this->data_context,
                             [this, remaining] { this->gate.observe_warm_up(remaining); });
              })
        , steering(control_context, control_connections, fleet, views, initial.instance,
                   initial.service, initial.control_port,
                   {this->bounds.exposure_share, this->bounds.exposure_extra},
                   make_steering_callbacks())
        , caller_server(
              data_context,
              [this](http_request request) { return this->respond_to_caller(std::move(request)); },
              to_http_limits({}))
        , peer_server(
              data_context,
              [this](http_request request) { return this->respond_to_peer(std::move(request)); },
              to_http_limits({}))
        , readiness_server(
              data_context,
              [this](http_request request) { return this->respond_ready(std::move(request)); })
        , heartbeat_server(control_context,
                           [this](http_request request) {
                               return this->announcements.respond(std::move(request));
                           })
        , control_server(control_context, [this](http_request request) {
            return this->respond_to_control(std::move(request));
        }) {}

    status bind() {
        struct binding {
            http_server& server;
            socket_address address;
        };
        for (auto const& [server, address] :
             {binding{this->caller_server, this->settings.calls},
              binding{this->peer_server, this->settings.peers},
              binding{this->readiness_server, this->settings.ready},
              binding{this->heartbeat_server, this->settings.heartbeats},
              binding{this->control_server, {this->settings.ip, this->settings.control_port}}}) {
            auto const bound = server.listen(address);
            if (!is_ok(bound)) {
                return failure(bound);
            }
        }
        auto const listening = this->quotas.listen();
        if (!is_ok(listening)) {
            return failure(listening);
        }
        for (auto const& seed : this->settings.seeds) {
            auto const address = parse_socket_address(seed);
            if (is_ok(address)) {
                this->fleet.add_contact(value(address).ip);
            }
        }
        return success();
    }

    void run() {
        log::write(log::level::info, "node_started",
                   {{"instance", this->settings.instance}, {"service", this->settings.service}});
        this->started = boot_clock::now();
        this->fleet.set_change_handler([this] { this->apply_rows(); });
        this->fleet.start();
        this->steering.start();
        asio::signal_set stop(this->data_context, SIGTERM, SIGINT);
        stop.async_wait([this](boost::system::error_code failed, int) {
            if (!failed) {
                asio::co_spawn(this->data_context, this->drain(), asio::detached);
            }
        });
        asio::signal_set reload(this->data_context, SIGHUP);
        this->await_reload(reload);
        auto const control_work = asio::make_work_guard(this->control_context);
        std::thread control([this] { this->control_context.run(); });
        this->data_context.run();
        this->control_context.stop();
        control.join();
        // Requests that outlast the stop return their slots to the gate, so the gate must still
        // exist.
        this->data_context.discard_pending_work();
        this->control_context.discard_pending_work();
    }

private:
    // Counts a request for the lifetime of the object.
    class request_count {
    public:
        explicit request_count(unsigned& number) : number(number) { ++this->number; }
        ~request_count() { --this->number; }
        request_count(request_count const&) = delete;
        request_count& operator=(request_count const&) = delete;
        request_count(request_count&&) = delete;
        request_count& operator=(request_count&&) = delete;

    private:
        unsigned& number;
    };

    // A request that is accepted late in a planned stop may not be completed, so it is refused.
    asio::awaitable<http_response> respond_to_caller(http_request request) {
        if (!this->refuses_callers) {
            request_count const counted(this->early_requests);
            co_return co_await this->entry.respond(std::move(request));
        }
        auto const caller = read_request_metadata(request);
        if (!this->may_be_call_of_target(caller)) {
            auto answer = make_local_answer(status_unavailable, caller ? caller->attempt_id : "",
                                            stopping_retry_after);
            answer.closes_connection = true;
            co_return answer;
        }
        co_return co_await this->entry.respond(std::move(request));
    }

    // A request that the target runs fails if the calls that it makes are refused. They end at the
    // deadline of the request.
    bool may_be_call_of_target(std::optional<request_metadata> const& caller) const {
        return this->gate.is_target_at_work() && caller && caller->time_left &&
               boot_clock::now() + *caller->time_left <= this->drain_end;
    }

    asio::awaitable<http_response> respond_to_peer(http_request request) {
        auto call = extract_hop_call(request, boot_clock::now());
        if (!call) {
            // The request is not run, so the sender may offer it to another node.
            co_return write_hop_answer(gate_refusal{result_code::request_malformed, {}}, {});
        }
        if (call->sender != this->last_sender) {
            this->last_sender = call->sender;
            asio::post(this->control_context,
                       [this, ip = call->sender] { this->fleet.add_contact(ip); });
        }
        if (this->refuses_nodes) {
            co_return write_hop_answer(gate_refusal{result_code::request_draining, {}},
                                       this->hop_state_for(call->route));
        }
        std::string const route = call->route;
        auto answer = co_await this->gate.run(std::move(*call), std::move(request));
        co_return write_hop_answer(std::move(answer), this->hop_state_for(route));
    }

    hop_state hop_state_for(std::string const& route) const {
        auto const view = this->views.load();
        bool const has_configuration = view && view->configuration;
        return {this->gate.load(route), has_configuration ? view->configuration->version() : 0};
    }

    asio::awaitable<http_response> respond_ready(http_request request) {
        http_response answer;
        if (!is_readiness_probe(request)) {
            answer.status = 404;
        } else if (!this->is_ready()) {
            answer.status = status_unavailable;
        }
        co_return answer;
    }

    bool is_ready() const {
        auto const view = this->views.load();
        bool const has_configuration = view && view->configuration;
        // A restarted node knows the other targets of the fleet while it waits for its own one.
        bool const is_complete = this->has_target || this->announcements.awaits_target() ||
                                 boot_clock::now() - this->started > target_wait_time;
        return has_configuration && is_complete && !this->is_stopping;
    }

    asio::awaitable<http_response> respond_to_control(http_request request) {
        if (is_commit_request(request)) {
            co_return co_await this->fleet.answer_commit(std::move(request));
        }
        if (request.method == "POST") {
            co_return this->steering.accept(request);
        }
        if (request.target == metrics_path) {
            http_response answer;
            answer.headers.set("Content-Type", "text/plain; version=0.0.4");
            answer.body = this->registry.exposition();
            co_return answer;
        }
        co_return co_await this->fleet.answer_rows(std::move(request));
    }

    // Runs on the data thread; the announcements belong to the control thread.
    void record_state(target_record const& observed) {
        asio::post(this->control_context,
                   [this, observed] { this->announcements.observe_state(observed); });
    }

    // Runs on the control thread; completes once the gate uses the new record.
    asio::awaitable<void> apply_target(std::optional<target_record> target) {
        auto const apply = [](implementation* node,
                              std::optional<target_record> record) -> asio::awaitable<void> {
            node->gate.set_target(record);
            node->has_target = record.has_value();
            co_return;
        };
        co_await asio::co_spawn(this->data_context, apply(this, std::move(target)),
                                asio::use_awaitable);
        this->metrics.target_awaited.set(this->announcements.awaits_target() ? 1 : 0);
    }

    // Runs on the control thread after each change of the replica's rows.
    void apply_rows() {
        this->announcements.rows_changed();
        this->metrics.target_awaited.set(this->announcements.awaits_target() ? 1 : 0);
        this->steering.rows_changed();
        auto const view = this->views.load();
        if (view) {
            this->metrics.configuration_refusals.set(
                static_cast<std::int64_t>(view->refused_configurations));
            this->metrics.configuration_unknown_values.set(view->has_unknown_values ? 1 : 0);
        }
        if (view && view->configuration) {
            this->metrics.configuration_version.set(
                static_cast<std::int64_t>(view->configuration->version()));
            this->apply_limits(view->configuration->limits());
            this->apply_terms(*view->configuration);
        }
        asio::post(this->data_context, [this] { this->quotas.view_changed(); });
        if (view) {
            this->apply_evacuation(
                view->evacuated_zones.contains(this->settings.availability_zone));
        }
    }

    // Runs on the control thread; the gate belongs to the data thread.
    void apply_terms(mesh_configuration const& configuration) {
        auto const* found = configuration.find_service(this->settings.service);
        service_terms const next = found == nullptr ? service_terms{} : *found;
        if (next == this->terms) {
            return;
        }
        this->terms = next;
        asio::post(this->data_context, [this, next] { this->gate.set_terms(next); });
    }

    void apply_evacuation(bool is_evacuated) {
        if (is_evacuated == this->is_zone_evacuated) {
            return;
        }
        this->is_zone_evacuated = is_evacuated;
        asio::post(this->data_context,
                   [this, is_evacuated] { this->gate.set_zone_evacuated(is_evacuated); });
    }

    // Runs on the control thread; the servers belong to the data thread.
    void apply_limits(caller_limits const& requested) {
        if (requested == this->limits) {
            return;
        }
        this->limits = requested;
        log::write(log::level::info, "limits_in_force",
                   {{"header_bytes", static_cast<std::int64_t>(requested.header_bytes)},
                    {"body_bytes", static_cast<std::int64_t>(requested.body_bytes)},
                    {"header_timeout_ms", requested.header_timeout.count()},
                    {"idle_timeout_ms", requested.idle_timeout.count()}});
        asio::post(this->data_context, [this, requested] {
            this->caller_server.set_limits(to_http_limits(requested));
        });
    }

    void request_newer_configuration(std::string const& ip, std::uint64_t version) {
        auto const view = this->views.load();
        auto const held = view && view->configuration ? view->configuration->version() : 0;
        if (!this->configuration_queries.try_start(held, version,
                                                   std::chrono::steady_clock::now())) {
            return;
        }
        asio::post(this->control_context,
                   [this, ip, version] { this->fleet.request_configuration(ip, version); });
    }

    rollout_steering::callbacks make_steering_callbacks() {
        rollout_steering::callbacks handlers;
        handlers.evidence = [this](std::string id) { return this->read_evidence(std::move(id)); };
        handlers.set_blocked_version = [this](std::string version) {
            asio::post(this->data_context, [this, version = std::move(version)] {
                this->gate.set_blocked_version(version);
            });
        };
        handlers.set_unfit_to_steer = [this](bool is_unfit) {
            this->metrics.unfit_to_steer.set(is_unfit ? 1 : 0);
        };
        return handlers;
    }

    // Runs on the control thread; the counts belong to the data thread.
    asio::awaitable<evidence_by_route> read_evidence(std::string id) {
        auto const read = [](implementation* node,
                             std::string requested) -> asio::awaitable<evidence_by_route> {
            co_return node->evidence.counts(requested, boot_clock::now());
        };
        co_return co_await asio::co_spawn(this->data_context, read(this, std::move(id)),
                                          asio::use_awaitable);
    }

    void await_reload(asio::signal_set& reload) {
        reload.async_wait([this, &reload](boost::system::error_code failed, int) {
            if (!failed) {
                log::write(log::level::info, "settings_reloaded",
                           {{"instance", this->settings.instance}});
                this->await_reload(reload);
            }
        });
    }

    // Planned stop: notifies callers and other nodes, waits for requests in flight, then ends the
    // process.
    asio::awaitable<void> drain() {
        log::write(log::level::info, "node_draining", {{"instance", this->settings.instance}});
        this->is_stopping = true;
        this->caller_server.close_after_next_response();
        this->peer_server.close_after_next_response();
        auto const drain_start = boot_clock::now();
        this->drain_end = drain_start + this->bounds.stop_timeout - stop_margin;
        this->gate.set_stop_time(this->drain_end);
        asio::steady_timer timer(this->data_context);
        while (boot_clock::now() < this->drain_end) {
            this->refuses_callers = boot_clock::now() - drain_start >= drain_notice_time;
            // The target remains usable while the node waits for requests of its callers, so other
            // nodes are served until then.
            this->refuses_nodes = this->refuses_callers && this->early_requests == 0;
            bool const is_idle = this->caller_server.requests_in_flight() == 0 &&
                                 this->peer_server.requests_in_flight() == 0;
            if (this->refuses_nodes && is_idle && this->announcements.is_recorded()) {
                break;
            }
            timer.expires_after(stop_poll_period);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        log::write(
            log::level::info, "node_stopped",
            {{"in_flight", static_cast<std::int64_t>(this->caller_server.requests_in_flight() +
                                                     this->peer_server.requests_in_flight())}});
        this->caller_server.stop_accepting();
        // Requests that take longer than the stop are aborted, so that completed responses queued
        // behind them on the same connections are delivered.
        this->entry.abort_requests();
        this->caller_server.cancel_handlers();
        timer.expires_after(close_delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        this->caller_server.close_idle_connections();
        this->peer_server.close_idle_connections();
        // If the process exited while a socket still held unread bytes, its last response would be
        // lost.
        timer.expires_after(close_delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        this->data_context.stop();
    }

    sidecar_settings settings;
    deployment_bounds bounds;
    event_loop data_context{1};
    event_loop control_context{1};
    rcu_cell<fleet_view> views;
    connection_pool connections;
    connection_pool control_connections;
    store_client store;
    metric_registry registry;
    sidecar_metrics metrics{registry};
    rollout_evidence evidence;
    target_gate gate;
    quota_agent quotas;
    call_entry entry;
    fleet_sync fleet;
    target_announcements announcements;
    rollout_steering steering;
    http_server caller_server;
    http_server peer_server;
    http_server readiness_server;
    http_server heartbeat_server;
    http_server control_server;
    /// The operator's limits in force; belongs to the control thread.
    caller_limits limits;
    /// What the configuration in force says of the target; belongs to the control thread.
    service_terms terms;
    bool is_zone_evacuated = false;
    boot_time started;
    std::string last_sender;
    configuration_query_pacer configuration_queries;
    bool has_target = false;
    bool is_stopping = false;
    /// Requests of callers in progress that were accepted before these were refused.
    unsigned early_requests = 0;
    /// When a planned stop ends at the latest.
    boot_time drain_end;
    /// Whether new requests are refused in a planned stop.
    bool refuses_callers = false;
    bool refuses_nodes = false;
};

sidecar_node::sidecar_node(std::unique_ptr<implementation> implementation)
    : self(std::move(implementation)) {}

sidecar_node::~sidecar_node() = default;

result<std::unique_ptr<sidecar_node>> sidecar_node::create(sidecar_settings const& settings) {
    auto made = std::make_unique<implementation>(settings);
    auto const bound = made->bind();
    if (!is_ok(bound)) {
        return failure(bound);
    }
    return std::unique_ptr<sidecar_node>(new sidecar_node(std::move(made)));
}

void sidecar_node::run() {
    this->self->run();
}

} // namespace peridot
