#pragma once

#include "configuration/configuration_scope.h"
#include "configuration/contract_json.h"
#include "configuration/manifest.h"
#include "configuration/service_chunk.h"
#include "configuration/workspace_entry.h"
#include "core/digest.h"
#include "moves/default_ramp.h"
#include "moves/move_declaration.h"
#include "node/attachment_kinds.h"
#include "node/move_agent.h"
#include "observability/decision_log.h"
#include "proxy/node_state.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridot::simulation {

/// Nodes with their move agents, a manual clock, and datagrams that the test hands over.
class moving_fleet {
public:
    struct node {
        node_state state;
        decision_log decisions{100};
        std::uint64_t incarnation = 1;
        std::unique_ptr<move_agent> agent;
    };

    /// A move of 100 s from v1 to v2 that starts 10 s from now.
    explicit moving_fleet(std::size_t count) {
        this->declared.plan.id = "deposits-1";
        this->declared.plan.service = "deposits";
        this->declared.plan.from = "v1";
        this->declared.plan.to = "v2";
        this->declared.plan.start = this->clock + seconds(10);
        this->declared.plan.done_by = this->clock + seconds(110);
        this->declared.plan.watch = seconds(20);
        this->declared.plan.ramp =
            default_ramp(this->declared.plan.start, this->declared.plan.done_by);
        for (std::size_t index = 0; index < count; ++index) {
            this->nodes.push_back(this->make_node("node-" + std::to_string(index)));
        }
        this->publish_members();
    }

    /// Accepts the declaration as a new version that the given nodes apply.
    void accept(std::vector<std::size_t> const& indices) {
        ++this->version;
        for (auto const index : indices) {
            auto const applied = this->nodes[index]->state.snapshots.apply(this->make_snapshot());
            (void)applied;
        }
    }

    void accept_everywhere() {
        std::vector<std::size_t> indices;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            indices.push_back(index);
        }
        this->accept(indices);
    }

    /// Lets time pass in ticks; datagrams that were sent arrive with the next tick.
    void run(milliseconds duration) {
        constexpr milliseconds tick{100};
        for (milliseconds passed{0}; passed < duration; passed += tick) {
            this->clock += tick;
            this->now += tick;
            auto const sent = std::exchange(this->in_flight, {});
            for (auto const& [instance, item] : sent) {
                this->deliver(instance, item);
            }
            for (auto& each : this->nodes) {
                each->agent->tick(this->now, this->clock);
            }
        }
    }

    /// Takes in a state as if the node had got it in a datagram.
    void give_state(std::size_t index, move_state const& state) {
        this->nodes[index]->agent->receive_state(encode(state), "elsewhere");
    }

    /// Counts calls on a node as the request path does.
    void count_calls(std::size_t index, target_side side, int calls, int failures) {
        auto const table = this->nodes[index]->state.moves.load();
        auto const& counters = table->services.at("deposits")->routes.at("/balance");
        for (int number = 0; number < calls; ++number) {
            call_result call;
            call.side = side;
            call.outcome = number < failures ? call_outcome::failed : call_outcome::succeeded;
            call.latency = milliseconds(5);
            counters->record(call);
        }
    }

    double share(std::size_t index) const {
        auto const table = this->nodes[index]->state.moves.load();
        auto const found = table->services.find("deposits");
        return found == table->services.end() ? 0 : found->second->progress->share();
    }

    running_move const& move(std::size_t index) const {
        return this->nodes[index]->agent->moves().at("deposits-1");
    }

    /// Replaces a node by one of the same name that knows nothing, as after a restart.
    void replace(std::size_t index) {
        auto const incarnation = this->nodes[index]->incarnation + 1;
        this->nodes[index] = this->make_node("node-" + std::to_string(index));
        this->nodes[index]->incarnation = incarnation;
        auto const applied = this->nodes[index]->state.snapshots.apply(this->make_snapshot());
        (void)applied;
    }

    move_declaration declared;
    wall_time clock{seconds(1'800'000'000)};
    steady_time now{seconds(1000)};
    std::vector<std::unique_ptr<node>> nodes;
    /// Datagrams to this instance are lost.
    std::string cut_off;
    std::vector<std::pair<std::string, attachment>> in_flight;

private:
    std::unique_ptr<node> make_node(std::string const& instance) {
        auto made = std::make_unique<node>();
        auto* const self = made.get();
        made->state.instance = instance;
        move_links links;
        links.directory = [this] { return this->directory; };
        links.send = [this](std::string const& to, attachment const& item) {
            this->in_flight.emplace_back(to, item);
        };
        links.push = [this, instance](attachment const& item, std::size_t /*count*/) {
            for (auto const& each : this->nodes) {
                if (each->state.instance != instance) {
                    this->in_flight.emplace_back(each->state.instance, item);
                }
            }
        };
        links.incarnation = [self] { return self->incarnation; };
        made->agent = std::make_unique<move_agent>(made->state, made->decisions, std::move(links));
        return made;
    }

    void publish_members() {
        std::vector<member_record> members;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            member_record member;
            member.instance = this->nodes[index]->state.instance;
            member.availability_zone = "zone-" + std::to_string(index % 3);
            member.service = "deposits";
            member.target_version = index % 2 == 0 ? "v1" : "v2";
            member.state = member_state::serving;
            member.slots = 10;
            members.push_back(member);
        }
        this->directory = std::make_shared<endpoint_directory const>(members);
    }

    std::shared_ptr<configuration_snapshot const> make_snapshot() const {
        contract terms;
        terms.workspace = "cafe-partners";
        terms.credential_sha256 = sha256_hex("secret");
        service_grant grant;
        grant.service = "deposits";
        grant.routes.push_back(route{"/balance", {"GET"}});
        grant.limit = {100, 10, 10};
        terms.grants.push_back(grant);
        std::map<std::string, std::string> chunks;
        auto const add = [&chunks](std::string const& bytes) {
            auto hash = sha256_hex(bytes);
            chunks[hash] = bytes;
            return hash;
        };
        manifest content;
        content.version = this->version;
        content.services["deposits"] =
            add(serialize(service_chunk{"deposits", "v1", encode(this->declared)}));
        content.workspaces["cafe-partners"] = {add(serialize(terms)), {"deposits"}};
        auto const hash = sha256_hex(serialize(content));
        auto const built = configuration_snapshot::build(
            content, hash, configuration_scope{},
            [&chunks](std::string const& wanted) { return chunks[wanted]; });
        return is_ok(built) ? value(built) : nullptr;
    }

    void deliver(std::string const& instance, attachment const& item) {
        if (instance == this->cut_off) {
            return;
        }
        for (auto& each : this->nodes) {
            if (each->state.instance != instance) {
                continue;
            }
            if (item.kind == attachment_kinds::move_state) {
                each->agent->receive_state(item.content, "a-sender");
            } else {
                each->agent->receive_evidence(item.content);
            }
        }
    }

    std::uint64_t version = 0;
    std::shared_ptr<endpoint_directory const> directory;
};

} // namespace peridot::simulation
