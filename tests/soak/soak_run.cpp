#include "soak/soak_run.h"

#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"
#include "soak/fault_proxy.h"
#include "soak/fault_schedule.h"
#include "soak/soak_callers.h"
#include "soak/soak_check.h"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <map>
#include <ostream>
#include <thread>

namespace peridot::soak {

namespace {

using processes::mesh_instance;
using processes::sidecar_fleet;

constexpr std::array<char const*, 3> zones{"zone-a", "zone-b", "zone-c"};
// Instances whose target does not provide the called service.
constexpr std::size_t calling_instances = 2;
constexpr milliseconds restart_pause{300};
// A node that is still running this long after SIGTERM is killed, as the platform does.
constexpr milliseconds stop_timeout{6000};
constexpr milliseconds slow_store_delay{400};
constexpr milliseconds slow_work_time{1200};
constexpr milliseconds normal_work_time{15};
constexpr int lost_answer_count = 20;
constexpr milliseconds restored_store_away{400};
// Time after which the operator writes again what a restored store has lost.
constexpr milliseconds operator_pause{300};
// A deregistered target receives no new work after this.
constexpr milliseconds drain_limit{2000};
constexpr milliseconds replacement_delay{3500};
// All routes of all instances must be served again this long after the last fault.
constexpr seconds recovery_limit{15};
constexpr milliseconds poll_period{5};
constexpr std::uint64_t first_version = 1;

steady_time now() {
    return std::chrono::steady_clock::now();
}

/// A soak in progress. The main thread injects the faults; the callers and the proxies each run on
/// a thread of their own.
class soak {
public:
    soak(soak_options const& requested, std::ostream& out)
        : options(requested), log(out), work(proxies.get_executor()) {
        this->start_instances();
        this->proxy_thread = std::thread([this] { this->proxies.run(); });
    }
    ~soak() {
        this->callers.reset();
        this->proxies.stop();
        this->proxy_thread.join();
    }
    soak(soak const&) = delete;
    soak& operator=(soak const&) = delete;
    soak(soak&&) = delete;
    soak& operator=(soak&&) = delete;

    soak_result run() {
        this->publish_configuration();
        this->require(this->all_instances_serve(), "the fleet did not start");
        this->started = now();
        std::vector<socket_address> addresses;
        for (auto const& each : this->nodes) {
            addresses.push_back(sidecar_fleet::calls_address(*each.instance));
        }
        this->callers = std::make_unique<soak_callers>(addresses, this->options.seed);
        this->callers->set_version(this->version);
        auto const schedule =
            make_schedule(this->options.seed, this->options.duration, this->nodes.size());
        for (auto const& fault : schedule) {
            this->wait_until(this->started + fault.at);
            this->inject(fault);
        }
        while (!this->pending.empty()) {
            this->wait_until(this->pending.begin()->first);
        }
        this->require(this->all_instances_serve(), "not all routes were served " +
                                                       std::to_string(recovery_limit.count()) +
                                                       " s after the last fault");
        return this->finish(schedule.size());
    }

private:
    struct node_under_test {
        mesh_instance* instance = nullptr;
        std::unique_ptr<fault_proxy> store_link;
        std::unique_ptr<fault_proxy> peer_link;
        bool is_expected_to_end = false;
        bool is_frozen = false;
        bool is_deregistering = false;
        bool is_restarting = false;
        unsigned targets = 0;
    };

    void start_instances() {
        for (std::size_t number = 0; number < this->options.instances; ++number) {
            node_under_test node;
            processes::instance_options options;
            options.availability_zone = zones.at(number % zones.size());
            options.is_behind_proxy = true;
            node.store_link = std::make_unique<fault_proxy>(
                this->proxies, socket_address{"127.0.0.1", 0}, this->fleet.store().address());
            options.store = node.store_link->address();
            node.instance =
                &this->fleet.add(number < calling_instances ? "plants" : "deposits", options);
            node.peer_link = std::make_unique<fault_proxy>(
                this->proxies, sidecar_fleet::peers_address(*node.instance),
                sidecar_fleet::proxied_peers_address(*node.instance));
            node.instance->target->set_work_time(normal_work_time);
            this->nodes.push_back(std::move(node));
        }
    }

    void publish_configuration() {
        this->version = this->version == 0 ? first_version : this->version + 1;
        this->fleet.configure(this->version, this->version);
        if (this->callers) {
            this->callers->set_version(this->version);
        }
    }

    // Runs pending actions as they become due and restarts ended nodes until the given time.
    void wait_until(steady_time at) {
        for (;;) {
            while (!this->pending.empty() && this->pending.begin()->first <= now()) {
                auto const action = this->pending.extract(this->pending.begin());
                action.mapped()();
            }
            this->restart_ended();
            if (now() >= at) {
                return;
            }
            std::this_thread::sleep_for(poll_period);
        }
    }

    void after(milliseconds time, std::function<void()> action) {
        this->pending.emplace(now() + time, std::move(action));
    }

    void inject(soak_fault const& fault) {
        auto& node = this->nodes.at(fault.instance);
        this->log << std::chrono::duration_cast<milliseconds>(now() - this->started).count()
                  << " ms " << name(fault.kind) << " " << node.instance->name << " for "
                  << fault.duration.count() << " ms\n";
        switch (fault.kind) {
        case fault_kind::kill_node:
            return this->kill(fault.instance);
        case fault_kind::stop_node:
            return this->stop(fault.instance);
        case fault_kind::freeze_node:
            return this->freeze(fault.instance, fault.duration);
        case fault_kind::reload_node:
            return node.instance->node->send(SIGHUP);
        case fault_kind::store_unavailable:
            this->fleet.store().set_unavailable(true);
            return this->after(fault.duration,
                               [this] { this->fleet.store().set_unavailable(false); });
        case fault_kind::store_slow:
            this->fleet.store().set_delay(slow_store_delay);
            return this->after(fault.duration,
                               [this] { this->fleet.store().set_delay(milliseconds(0)); });
        case fault_kind::store_loses_answers:
            this->fleet.store().set_losing_answers(true);
            return this->after(fault.duration,
                               [this] { this->fleet.store().set_losing_answers(false); });
        case fault_kind::store_restored:
            return this->after(fault.duration, [this, copy = this->fleet.store().make_copy()] {
                this->restore_store(*copy);
            });
        case fault_kind::store_link_delayed:
            return this->impair(*node.store_link, link_state::delayed, fault.duration);
        case fault_kind::store_link_reset:
            return this->impair(*node.store_link, link_state::reset, fault.duration);
        case fault_kind::store_link_answers_dropped:
            return this->impair(*node.store_link, link_state::answers_dropped, fault.duration);
        case fault_kind::peer_link_delayed:
            return this->impair(*node.peer_link, link_state::delayed, fault.duration);
        case fault_kind::peer_link_reset:
            return this->impair(*node.peer_link, link_state::reset, fault.duration);
        case fault_kind::peer_link_requests_dropped:
            return this->impair(*node.peer_link, link_state::requests_dropped, fault.duration);
        case fault_kind::peer_link_answers_dropped:
            return this->impair(*node.peer_link, link_state::answers_dropped, fault.duration);
        case fault_kind::target_fails:
            node.instance->target->set_failing(true);
            return this->after(fault.duration,
                               [&node] { node.instance->target->set_failing(false); });
        case fault_kind::target_slow:
            node.instance->target->set_work_time(slow_work_time);
            return this->after(fault.duration,
                               [&node] { node.instance->target->set_work_time(normal_work_time); });
        case fault_kind::target_loses_answers:
            return node.instance->target->lose_answers(lost_answer_count);
        case fault_kind::target_replaced:
            return this->replace_target(node);
        case fault_kind::target_deregisters:
            return this->deregister_target(node);
        case fault_kind::configuration:
            return this->publish_configuration();
        }
    }

    // The store is away for a moment and comes back from a copy. The operator notices this and
    // writes the configuration again.
    void restore_store(processes::store_standin::copy const& earlier) {
        this->fleet.store().set_unavailable(true);
        this->fleet.store().restore(earlier);
        this->after(restored_store_away, [this] { this->fleet.store().set_unavailable(false); });
        this->after(restored_store_away + operator_pause,
                    [this] { this->fleet.configure(this->version, this->version); });
    }

    void impair(fault_proxy& link, link_state state, milliseconds duration) {
        link.set(state);
        this->after(duration, [&link] { link.set(link_state::normal); });
    }

    void kill(std::size_t number) {
        auto& node = this->nodes[number];
        this->record_outage(number);
        node.is_expected_to_end = true;
        node.is_frozen = false;
        node.instance->node->send(SIGKILL);
    }

    void stop(std::size_t number) {
        auto& node = this->nodes[number];
        if (node.is_expected_to_end) {
            return;
        }
        node.is_expected_to_end = true;
        node.instance->node->send(SIGTERM);
        auto const* signalled = node.instance->node.get();
        this->after(stop_timeout, [this, number, signalled] {
            if (this->nodes[number].instance->node.get() == signalled) {
                this->kill(number);
            }
        });
    }

    void freeze(std::size_t number, milliseconds duration) {
        auto& node = this->nodes[number];
        if (node.is_frozen) {
            return;
        }
        this->record_outage(number);
        node.is_frozen = true;
        node.instance->node->send(SIGSTOP);
        auto const* frozen = node.instance->node.get();
        this->after(duration, [this, number, frozen] {
            auto& resumed = this->nodes[number];
            if (resumed.instance->node.get() == frozen) {
                frozen->send(SIGCONT);
                resumed.is_frozen = false;
                this->end_outages(number);
            }
        });
    }

    void record_outage(std::size_t number) {
        this->outages.push_back({number, now(), std::nullopt});
    }

    void end_outages(std::size_t number) {
        for (auto& down : this->outages) {
            if (down.instance == number && !down.ended) {
                down.ended = now();
            }
        }
    }

    // Restarts nodes that have ended. An end that was not injected is a violation.
    void restart_ended() {
        for (std::size_t number = 0; number < this->nodes.size(); ++number) {
            auto& node = this->nodes[number];
            if (node.is_restarting || !node.instance->node->has_ended()) {
                continue;
            }
            this->require(node.is_expected_to_end, node.instance->name + " ended unexpectedly");
            node.is_restarting = true;
            this->after(restart_pause, [this, number] {
                auto& ended = this->nodes[number];
                this->callers->record_start(number);
                this->fleet.restart(*ended.instance);
                ended.is_restarting = false;
                ended.is_expected_to_end = false;
                ended.is_frozen = false;
                this->end_outages(number);
            });
        }
    }

    void add_run_counts(node_under_test const& node) {
        for (auto const& [attempt, count] : node.instance->target->run_counts()) {
            this->runs[attempt] += count;
        }
    }

    void replace_target(node_under_test& node) {
        if (node.is_deregistering) {
            return;
        }
        this->add_run_counts(node);
        this->fleet.replace_target(*node.instance, node.instance->name + "-target-" +
                                                       std::to_string(++node.targets));
        node.instance->target->set_work_time(normal_work_time);
    }

    // Deregisters the target, which continues to serve until it is replaced.
    void deregister_target(node_under_test& node) {
        if (node.is_deregistering || node.is_frozen || node.is_expected_to_end) {
            return;
        }
        node.is_deregistering = true;
        bool const is_acknowledged = node.instance->target->deregister();
        this->after(drain_limit, [this, &node, is_acknowledged] {
            auto const before = node.instance->target->run_count();
            this->after(replacement_delay - drain_limit, [this, &node, before, is_acknowledged] {
                auto const later = node.instance->target->run_count();
                this->require(!is_acknowledged || later == before,
                              node.instance->target->id() + " received " +
                                  std::to_string(later - before) +
                                  " requests after its drain time");
                node.is_deregistering = false;
                this->replace_target(node);
            });
        });
    }

    bool all_instances_serve() {
        auto const limit = now() + recovery_limit;
        for (std::size_t number = 0; number < this->nodes.size(); ++number) {
            auto const& instance = *this->nodes[number].instance;
            for (auto const& path : {std::string("/get/1"), std::string("/pay/1"),
                                     "/more" + std::to_string(this->version - 1) + "/1"}) {
                for (unsigned status = 0; status != 200;) {
                    if (now() > limit) {
                        return false;
                    }
                    auto const attempt = "probe-" + std::to_string(++this->probes);
                    auto const answer = this->fleet.call(instance, path, attempt, seconds(2));
                    status = answer ? answer->status : 0;
                    if (status != 200) {
                        this->wait_until(now() + 4 * poll_period);
                    }
                }
            }
        }
        return true;
    }

    soak_result finish(std::size_t faults) {
        auto const records = this->callers->stop();
        for (auto const& node : this->nodes) {
            this->add_run_counts(node);
        }
        soak_result result;
        result.requests = records.size();
        result.faults = faults;
        result.answered = static_cast<std::size_t>(std::ranges::count_if(
            records, [](soak_record const& record) { return record.status == 200; }));
        result.violations = find_violations(records, this->runs, this->outages);
        std::ranges::copy(this->violations, std::back_inserter(result.violations));
        if (!result.violations.empty() || this->options.writes_all_logs) {
            this->fleet.print_logs(this->log);
        }
        return result;
    }

    void require(bool holds, std::string const& fault) {
        if (!holds) {
            this->violations.push_back(fault);
        }
    }

    soak_options options;
    std::ostream& log;
    boost::asio::io_context proxies{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    sidecar_fleet fleet;
    std::vector<node_under_test> nodes;
    std::unique_ptr<soak_callers> callers;
    std::thread proxy_thread;
    steady_time started;
    std::uint64_t version = 0;
    unsigned probes = 0;
    std::multimap<steady_time, std::function<void()>> pending;
    std::map<std::string, std::size_t> runs;
    std::vector<outage> outages;
    std::vector<std::string> violations;
};

} // namespace

soak_result run_soak(soak_options const& options, std::ostream& log) {
    soak running(options, log);
    return running.run();
}

} // namespace peridot::soak
