#include "node/node.h"

#include "admission/admission_controller.h"
#include "core/log.h"
#include "distribution/dead_member_removal.h"
#include "distribution/distribution_agent.h"
#include "distribution/distribution_counters.h"
#include "distribution/lease_keeper.h"
#include "distribution/peer_service.h"
#include "http/connection_pool.h"
#include "http/http_server.h"
#include "membership/membership_agent.h"
#include "node/admin_service.h"
#include "node/attachment_kinds.h"
#include "node/drain_watch.h"
#include "node/limit_agent.h"
#include "node/member_exchange.h"
#include "node/member_registration.h"
#include "node/move_agent.h"
#include "node/move_queries.h"
#include "node/move_recording.h"
#include "node/node_parts.h"
#include "node/node_worker.h"
#include "node/span_export.h"
#include "node/subset_agent.h"
#include "observability/decision_log.h"
#include "observability/metric_registry.h"
#include "observability/span_buffer.h"
#include "observability/span_source.h"
#include "platform/object_client.h"
#include "platform/table_client.h"
#include "proxy/node_state.h"
#include "proxy/request_metrics.h"
#include "settings/node_settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <optional>
#include <vector>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr milliseconds drain_poll{50};
// Time to close connections before the threads end.
constexpr milliseconds closing_time{50};
constexpr milliseconds tick_period{100};
constexpr std::size_t spans_per_worker = 1024;
constexpr std::size_t kept_decisions = 1000;

member_record make_record(node_settings const& settings) {
    member_record record;
    record.instance = settings.instance;
    record.ip = settings.ip;
    record.gossip_port = settings.ports.gossip;
    record.availability_zone = settings.availability_zone;
    record.region = settings.region;
    return record;
}

configuration_scope make_scope(node_settings const& settings) {
    configuration_scope scope;
    if (settings.scope) {
        scope.services.insert(settings.scope->begin(), settings.scope->end());
    }
    return scope;
}

} // namespace

class node::implementation {
public:
    explicit implementation(node_settings const& given)
        : settings(given)
        , connections(context)
        , table(connections, given.platform)
        , objects(connections, given.platform)
        , metrics(registry)
        , spans(given.workers, spans_per_worker) {
        this->state.instance = given.instance;
        this->state.availability_zone = given.availability_zone;
    }

    status bind() {
        auto agent = membership_agent::create(this->context, make_record(this->settings));
        if (!is_ok(agent)) {
            return failure(agent);
        }
        this->members = value(std::move(agent));
        this->make_distribution();
        this->parts.emplace(node_parts{this->context, this->state, *this->members,
                                       *this->distribution, this->counters, *this->peers,
                                       *this->keeper, this->registry, this->metrics, this->spans,
                                       this->settings.platform});
        auto workers_bound = this->bind_workers();
        if (!is_ok(workers_bound)) {
            return workers_bound;
        }
        this->make_registration();
        this->limits = std::make_unique<limit_agent>(this->state, *this->members);
        this->subsets = std::make_unique<subset_agent>(this->state, *this->members);
        this->bind_moves();
        this->admin = std::make_unique<admin_service>(*this->parts);
        this->admin_server =
            std::make_unique<http_server>(this->context, [this](http_request request) {
                return this->respond_to_admin(std::move(request));
            });
        auto const bound =
            this->admin_server->listen({this->settings.ip, this->settings.ports.admin});
        if (!is_ok(bound)) {
            return failure(bound);
        }
        this->settings.ports.admin = value(bound).port;
        this->settings.ports.gossip = this->members->port();
        this->registration->set_ports(this->settings.ports);
        return success();
    }

    boost::json::object addresses() const {
        auto const& ports = this->settings.ports;
        return {{"instance", this->settings.instance},
                {"ip", this->settings.ip},
                {"calls", ports.calls},
                {"peers", ports.peers},
                {"gossip", ports.gossip},
                {"admin", ports.admin}};
    }

    void run() {
        for (auto& worker : this->workers) {
            worker->start();
        }
        for (auto const& seed : this->settings.seeds) {
            this->members->add_seed(seed.ip, seed.port);
        }
        this->members->start();
        asio::co_spawn(this->context, this->registration->run(), asio::detached);
        this->distribution->start();
        asio::co_spawn(this->context, this->keeper->run(), asio::detached);
        asio::co_spawn(this->context, this->run_ticks(), asio::detached);
        asio::co_spawn(this->context, this->recording->run(), asio::detached);
        if (this->settings.trace_collector) {
            asio::co_spawn(this->context,
                           export_spans(this->spans, this->connections,
                                        *this->settings.trace_collector,
                                        {"peridot-node", this->settings.instance,
                                         this->settings.availability_zone}),
                           asio::detached);
        }
        asio::signal_set signals(this->context, SIGTERM, SIGINT);
        signals.async_wait([this](boost::system::error_code failed, int) {
            if (!failed) {
                asio::co_spawn(this->context, this->leave(), asio::detached);
            }
        });
        this->context.run();
        for (auto& worker : this->workers) {
            worker->stop();
        }
        // Member pages that workers still wait for end here, while the workers exist.
        this->context.restart();
        this->context.poll();
    }

    bool has_failed() const { return this->is_rejected; }

private:
    void make_distribution() {
        auto const directory = [this] { return this->members->directory().load(); };
        distribution_peers peers;
        peers.directory = directory;
        peers.push = [this](std::string const& announcement, std::size_t count) {
            this->members->push_attachment({attachment_kinds::configuration_head, announcement},
                                           count);
        };
        this->sources =
            make_http_sources(this->connections, this->table, this->objects, this->counters);
        distribution_identity identity{this->settings.instance, this->settings.availability_zone,
                                       make_scope(this->settings)};
        this->distribution = std::make_unique<distribution_agent>(
            this->context, this->state.snapshots, std::move(identity), this->sources,
            std::move(peers), this->counters);
        this->distribution->set_ready_handler([this](bool is_ready) {
            this->state.is_ready = is_ready;
            log::write(log::level::info, is_ready ? "node_ready" : "node_not_ready", {});
        });
        attachment_provider provider;
        provider.current = [this] { return this->distribution->announcement(); };
        provider.receive = [this](std::string_view bytes, std::string_view sender) {
            this->distribution->receive(bytes, sender);
        };
        this->members->set_attachment_provider(attachment_kinds::configuration_head,
                                               std::move(provider));
        this->peers = std::make_unique<peer_service>(
            this->distribution->content(), make_page_source(this->context, *this->members),
            this->counters);
        this->exchange =
            std::make_unique<member_exchange>(this->context, *this->members, this->sources);
        this->keeper = std::make_unique<lease_keeper>(this->settings.instance,
                                                      make_table_access(this->table), directory);
        auto const removal =
            std::make_shared<dead_member_removal>(make_table_access(this->table), directory,
                                                  [] { return std::chrono::steady_clock::now(); });
        this->keeper->add_work([removal](lease const& held) { return removal->run(held); });
    }

    void make_registration() {
        member_registration::handlers effects;
        effects.set_incarnation = [this](std::uint64_t incarnation) {
            this->members->set_incarnation(incarnation);
        };
        effects.add_seed = [this](std::string const& ip, std::uint16_t port) {
            this->members->add_seed(ip, port);
        };
        effects.reject = [this](error const& reason) { this->end_superseded(reason); };
        this->registration = std::make_unique<member_registration>(
            this->settings, make_table_access(this->table), std::move(effects));
        this->members->set_superseded_handler([this] {
            this->end_superseded({result_code::member_superseded,
                                  "a later process runs as " + this->settings.instance});
        });
    }

    // Two processes of one instance name would share a record that has one writer.
    void end_superseded(error const& reason) {
        log::write(log::level::error, "node_superseded", {{"reason", describe(reason)}});
        this->is_rejected = true;
        this->state.is_draining = true;
        this->context.stop();
    }

    status bind_workers() {
        auto& ports = this->settings.ports;
        for (std::uint32_t index = 0; index < this->settings.workers; ++index) {
            auto worker = std::make_unique<node_worker>(*this->parts, index);
            auto const calls = worker->listen_for_calls({this->settings.ip, ports.calls});
            if (!is_ok(calls)) {
                return failure(calls);
            }
            auto const peers = worker->listen_for_peers({this->settings.ip, ports.peers});
            if (!is_ok(peers)) {
                return failure(peers);
            }
            // The workers after the first one share the ports that the system picked for it.
            ports.calls = value(calls).port;
            ports.peers = value(peers).port;
            this->workers.push_back(std::move(worker));
        }
        this->members->set_peer_port(ports.peers);
        return success();
    }

    void bind_moves() {
        this->moves = std::make_unique<move_agent>(this->state, this->decisions,
                                                   make_move_links(*this->members));
        this->recording =
            std::make_unique<move_recording>(this->state, *this->moves, this->table, this->objects);
        attachment_provider states;
        states.current = [this] { return this->moves->next_state(); };
        states.receive = [this](std::string_view bytes, std::string_view sender) {
            this->moves->receive_state(bytes, sender);
        };
        this->members->set_attachment_provider(attachment_kinds::move_state, std::move(states));
        attachment_provider evidence;
        evidence.receive = [this](std::string_view bytes, std::string_view /*sender*/) {
            this->moves->receive_evidence(bytes);
        };
        this->members->set_attachment_provider(attachment_kinds::move_evidence,
                                               std::move(evidence));
    }

    asio::awaitable<http_response> respond_to_admin(http_request request) {
        auto answered = answer_move_query(request, this->state, *this->moves, this->decisions);
        if (answered) {
            co_return std::move(*answered);
        }
        co_return co_await this->admin->respond(std::move(request));
    }

    // What has to happen about every 100 ms on the control thread.
    asio::awaitable<void> run_ticks() {
        asio::steady_timer timer(this->context);
        for (;;) {
            auto const now = std::chrono::steady_clock::now();
            this->limits->tick(now);
            this->subsets->tick();
            this->moves->tick(now, std::chrono::system_clock::now());
            if (auto const target = this->state.target.load()) {
                target->admission->tick();
            }
            timer.expires_after(tick_period);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    // A planned stop: tells the others, lets work in flight end, then stops.
    asio::awaitable<void> leave() {
        log::write(log::level::info, "node_draining", {});
        this->state.is_draining = true;
        this->members->set_state(member_state::draining);
        for (auto const& worker : this->workers) {
            worker->close_after_next_response();
        }
        drain_watch::times times;
        times.longest = this->settings.drain_time;
        drain_watch watch(times, std::chrono::steady_clock::now());
        asio::steady_timer timer(this->context);
        while (!watch.is_over(std::chrono::steady_clock::now())) {
            timer.expires_after(drain_poll);
            co_await timer.async_wait(asio::use_awaitable);
            watch.record(this->requests_in_flight(), std::chrono::steady_clock::now());
        }
        for (auto const& worker : this->workers) {
            worker->close_connections();
        }
        timer.expires_after(closing_time);
        co_await timer.async_wait(asio::use_awaitable);
        log::write(log::level::info, "node_stopped",
                   {{"in_flight", static_cast<std::int64_t>(this->requests_in_flight())}});
        this->members->set_state(member_state::left);
        this->members->stop();
        this->context.stop();
    }

    std::size_t requests_in_flight() const {
        std::size_t total = 0;
        for (auto const& worker : this->workers) {
            total += worker->requests_in_flight();
        }
        return total;
    }

    node_settings settings;
    asio::io_context context{1};
    node_state state;
    connection_pool connections;
    table_client table;
    object_client objects;
    metric_registry registry;
    request_metrics metrics;
    span_buffer spans;
    distribution_counters counters;
    distribution_sources sources;
    std::unique_ptr<membership_agent> members;
    std::unique_ptr<distribution_agent> distribution;
    std::unique_ptr<peer_service> peers;
    std::unique_ptr<member_exchange> exchange;
    std::unique_ptr<lease_keeper> keeper;
    std::optional<node_parts> parts;
    std::unique_ptr<limit_agent> limits;
    std::unique_ptr<subset_agent> subsets;
    decision_log decisions{kept_decisions};
    std::unique_ptr<move_agent> moves;
    std::unique_ptr<move_recording> recording;
    std::unique_ptr<member_registration> registration;
    std::unique_ptr<admin_service> admin;
    std::unique_ptr<http_server> admin_server;
    std::vector<std::unique_ptr<node_worker>> workers;
    bool is_rejected = false;
};

node::node(std::unique_ptr<implementation> made) : self(std::move(made)) {}

node::~node() = default;

result<std::unique_ptr<node>> node::create(node_settings const& settings) {
    auto made = std::make_unique<implementation>(settings);
    auto const bound = made->bind();
    if (!is_ok(bound)) {
        return failure(bound);
    }
    return std::unique_ptr<node>(new node(std::move(made)));
}

boost::json::object node::addresses() const {
    return this->self->addresses();
}

bool node::run() {
    this->self->run();
    return !this->self->has_failed();
}

} // namespace peridot
