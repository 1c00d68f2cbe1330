// A small deployment for the scripts of this review: machines in two zones, some of them beside
// endpoints of services that run refunds, others beside endpoints of `cafe`, whose clients send
// refunds.
#pragma once

#include "world.hpp"

#include <filesystem>

namespace world {

constexpr double drain_s = 2;         // DrainS
constexpr double stable_window_s = 3; // StableWindowS
constexpr double heartbeat_s = 1.5;   // HeartbeatS

struct place {
    std::string zone;
    std::string service;
};

struct fleet {
    explicit fleet(record& out, std::vector<place> chosen = {{"a", "payouts"},
                                                             {"b", "payouts"},
                                                             {"a", "cafe"},
                                                             {"b", "cafe"}})
        : log(out), platform(out), places(std::move(chosen)) {}

    bool start(std::string const& sidecar) {
        this->program = sidecar;
        this->folder = temporary_folder();
        std::vector<std::string> ips;
        for (std::size_t at = 0; at <= this->places.size(); ++at) {
            ips.push_back("127.0.41." + std::to_string(at + 1));
        }
        std::set<int> taken;
        int ports[7];
        for (int& port : ports) {
            port = free_port(ips, taken);
            if (port < 0) {
                return false;
            }
        }
        std::string const store_ip = ips.back();
        for (std::size_t at = 0; at < this->places.size(); ++at) {
            auto node = std::make_unique<machine>();
            node->name = "node-" + std::to_string(at + 1);
            node->ip = ips[at];
            node->zone = this->places[at].zone;
            node->service = this->places[at].service;
            node->app = ports[0];
            node->outbound = ports[1];
            node->inbound = ports[2];
            node->ready = ports[3];
            node->control = ports[4];
            node->internal = ports[5];
            node->store = store_ip + ":" + std::to_string(ports[6]);
            node->folder = this->folder;
            this->machines.push_back(std::move(node));
        }
        if (this->folder.empty() || !this->platform.start(store_ip, ports[6])) {
            return false;
        }
        this->platform.put("op", "config", config("r7", "payouts"));
        for (auto const& node : this->machines) {
            if (!node->start(sidecar)) {
                return false;
            }
        }
        return true;
    }

    static std::string config(std::string const& version, char const* refunds_go_to) {
        auto const route = [](char const* name, char const* prefix, char const* kind,
                              char const* service, double timeout) {
            return json::object{{"TypeUrl", "Routes"},
                                {"Metadata", {{"Name", name}}},
                                {"Spec",
                                 {{"Host", "mesh.example"},
                                  {"Prefix", prefix},
                                  {"Kind", kind},
                                  {"TimeoutS", timeout},
                                  {"TargetLatencyS", 0.8},
                                  {"Priority", 1},
                                  {"Service", service},
                                  {"Attempts", 2}}}};
        };
        auto const service = [](char const* name) {
            return json::object{{"TypeUrl", "Services"},
                                {"Metadata", {{"Name", name}}},
                                {"Spec",
                                 {{"HealthPath", "/health"},
                                  {"MaxConnections", 120},
                                  {"Protocol", "h1"},
                                  {"Tls", false}}}};
        };
        json::array const resources{
            route("r-refund", "/refund/", "non_idempotent", refunds_go_to, 1.2), service("payouts"),
            service("payouts-new"), service("cafe"),
            json::object{{"TypeUrl", "Limits"},
                         {"Metadata", json::object{}},
                         {"Spec",
                          {{"MaxHeaderBytes", 16384},
                           {"MaxBodyBytes", 67108864},
                           {"HeaderTimeoutS", 3},
                           {"IdleTimeoutS", 15}}}}};
        return json::serialize(json::object{{"Version", version}, {"Resources", resources}});
    }

    /// Waits until all nodes say that they are ready.
    bool await_ready(double until) {
        for (;;) {
            bool all = true;
            for (auto const& node : this->machines) {
                all = all && node->is_ready();
            }
            if (all) {
                return true;
            }
            if (now_s() > until) {
                return false;
            }
            sleep_s(0.1);
        }
    }

    /// Starts the clients of some machines. Each sends a refund of its own at the
    /// interval and waits for its answer; none of them retries.
    void start_clients(int per_machine, double interval_s,
                       std::vector<std::size_t> const& on = {2, 3}) {
        for (auto const at : on) {
            for (int client = 0; client < per_machine; ++client) {
                this->workers.emplace_back([this, at, client, interval_s] {
                    for (int number = 0; !this->is_over; ++number) {
                        auto const attempt = "c" + std::to_string(at) + "-" +
                                             std::to_string(client) + "-" + std::to_string(number);
                        double const next = now_s() + interval_s;
                        auto const seen =
                            send_request(*this->machines[at], "POST", "mesh.example",
                                         "/refund/" + attempt, attempt, 2.0, "refund " + attempt);
                        {
                            std::lock_guard const lock(this->mutex);
                            this->outcomes[attempt] = seen;
                        }
                        this->log.line("request " + attempt + " answered " +
                                       (seen.status == 0 ? std::string("not at all")
                                                         : std::to_string(seen.status)) +
                                       (seen.from.empty() ? "" : " with the seal " + seen.from));
                        sleep_until(next);
                    }
                });
            }
        }
    }

    void stop() {
        this->is_over = true;
        for (auto& worker : this->workers) {
            worker.join();
        }
        for (auto const& node : this->machines) {
            node->send(SIGTERM);
        }
        for (auto const& node : this->machines) {
            node->end(SIGTERM, 6);
        }
        this->platform.stop();
        std::error_code ignored;
        if (!this->folder.empty()) {
            std::filesystem::remove_all(this->folder, ignored);
        }
    }

    record& log;
    store platform;
    std::vector<place> places;
    std::string program;
    std::string folder;
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::thread> workers;
    std::atomic<bool> is_over{false};
    std::mutex mutex;
    std::map<std::string, outcome> outcomes;
};

/// Sends the heartbeats of an endpoint while it is up and has not deregistered.
class beats {
public:
    explicit beats(endpoint& sender) : sender(sender), worker([this] { this->run(); }) {}
    ~beats() { this->stop(); }
    void stop() {
        this->is_stopped = true;
        if (this->worker.joinable()) {
            this->worker.join();
        }
    }

private:
    void run() {
        while (!this->is_stopped) {
            bool const acknowledged = this->sender.is_up && this->sender.beat();
            double const until = now_s() + (acknowledged ? heartbeat_s : 0.3);
            while (!this->is_stopped && now_s() < until) {
                sleep_s(0.02);
            }
        }
    }

    endpoint& sender;
    std::atomic<bool> is_stopped{false};
    std::thread worker;
};

} // namespace world
