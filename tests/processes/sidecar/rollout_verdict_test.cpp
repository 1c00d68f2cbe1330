#include "mesh/rollout.h"
#include "mesh/rollout_plan.h"
#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/http_caller.h"
#include "processes/support/wait_until.h"
#include "sidecar/rollout_json.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>

using namespace peridot;
using namespace peridot::processes;

// A roll-out of the service deposits from v1 to v2, whose verdict some nodes know and whose row in
// the store says something else.
TEST_GROUP(rollout_verdict) {
    sidecar_fleet fleet;
    http_caller sender;
    mesh_instance* caller = nullptr;
    mesh_instance* old_target = nullptr;
    mesh_instance* new_target = nullptr;
    int attempts = 0;

    void setup() override {
        this->fleet.configure(1);
        this->caller = &this->fleet.add("plants");
        this->old_target = &this->fleet.add("deposits");
        CHECK(this->wait_until_served());
        this->new_target = &this->fleet.add("deposits", {.version = "v2"});
        CHECK(wait_until([&] { return this->fleet.is_ready(*this->new_target); }));
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    bool wait_until_served() {
        return wait_until([&] {
            auto const answer = this->fleet.call(*this->caller, "/get/1",
                                                 "attempt-" + std::to_string(++this->attempts));
            return answer && answer->status == 200;
        });
    }

    void order_rollout(seconds duration) {
        this->fleet.store().put("op", "rollout/deposits",
                                R"({"Service":"deposits","To":"v2","DurationS":)" +
                                    std::to_string(duration.count()) + "}");
        CHECK(wait_until([&] { return !this->status().empty(); }));
    }

    std::string status() {
        return this->fleet.store().value("status", "rollout/deposits");
    }

    // Returns the roll-out as the nodes have recorded it.
    rollout recorded() {
        auto const read = decode_rollout(this->fleet.store().value("peridot", "rollout/deposits"));
        CHECK(is_ok(read));
        return value(read);
    }

    // Tells a node the verdict against the new version, as the steering node does.
    bool send_verdict(mesh_instance const& receiver) {
        http_request verdict{"POST", "/verdict", {}, rollout_id(this->recorded())};
        auto const answer =
            this->sender.call(sidecar_fleet::control_address(receiver), std::move(verdict));
        return answer && answer->status == 200;
    }

    // Whether a transaction that the store has not performed yet would end the roll-out like this.
    bool is_held(std::string const& state) {
        auto const values = this->fleet.store().held_values("status", "rollout/deposits");
        return std::ranges::any_of(values, [&state](std::string const& value) {
            return value.find(state) != std::string::npos;
        });
    }

    bool is_blocked(mesh_instance const& instance) {
        auto const answer = this->sender.call(sidecar_fleet::control_address(instance),
                                              {"GET", "/metrics", {}, {}});
        return answer && answer->body.find("peridot_gate_version_blocked 1") != std::string::npos;
    }
};

// Guards against gates that refuse every request for good after a roll-out whose completion took
// effect late: its version was condemned meanwhile, and the old targets stopped (kcg-mesh, CONFIG).
TEST(rollout_verdict, service_is_served_after_its_condemned_version_was_completed) {
    order_rollout(seconds(60));
    // No further step is written, so that the completion is the next change of the row.
    fleet.store().set_unavailable(true);
    CHECK(send_verdict(*new_target));
    CHECK(wait_until([&] { return is_blocked(*new_target); }));
    auto completed = recorded();
    completed.phase = rollout_phase::complete;
    completed.share = 1;
    fleet.store().put("peridot", "rollout/deposits", encode_rollout(completed));
    fleet.store().set_unavailable(false);
    CHECK(old_target->target->deregister());
    CHECK(wait_until_served());
    CHECK(new_target->target->run_count() > 0);
}

// Guards against a roll-out that is continued, and completed, by a node that does not know that its
// version was condemned while another node steered it.
TEST(rollout_verdict, node_that_steers_next_takes_the_condemned_version_back) {
    order_rollout(seconds(4));
    CHECK(send_verdict(*new_target));
    CHECK(wait_until([&] {
        return status().find("rolled_back") != std::string::npos ||
               status().find("complete") != std::string::npos;
    }));
    STRCMP_CONTAINS("rolled_back", status().c_str());
    CHECK(wait_until_served());
}

// Guards against a gate that lets requests of late senders pass to a version that was taken back
// before the gate's node was restarted.
TEST(rollout_verdict, restarted_gate_blocks_a_version_that_was_taken_back) {
    order_rollout(seconds(60));
    auto taken_back = recorded();
    taken_back.phase = rollout_phase::rolled_back;
    taken_back.share = 0;
    fleet.store().put("peridot", "rollout/deposits", encode_rollout(taken_back));
    CHECK(wait_until([&] { return is_blocked(*new_target); }));
    new_target->node->end();
    fleet.restart(*new_target);
    CHECK(wait_until([&] { return is_blocked(*new_target); }));
    CHECK(wait_until_served());
}

// Guards against a gate that holds a version for condemned after the operator has ordered another
// roll-out to it.
TEST(rollout_verdict, next_order_for_a_condemned_version_starts_anew) {
    order_rollout(seconds(60));
    CHECK(send_verdict(*new_target));
    CHECK(wait_until([&] { return is_blocked(*new_target); }));
    CHECK(wait_until([&] { return status().find("rolled_back") != std::string::npos; }));
    order_rollout(seconds(50));
    CHECK(wait_until([&] { return !is_blocked(*new_target); }));
}

// Guards against a version that turns bad while the store keeps its completion waiting, and that
// nobody judges until that write is given up (kcg-mesh, EXPOSURE beside CONFIG).
TEST(rollout_verdict, version_is_judged_while_its_completion_waits_at_the_store) {
    std::atomic<bool> is_stopped{false};
    std::thread lookups([&] {
        while (!is_stopped) {
            fleet.call(*caller, "/get/1", "lookup-" + std::to_string(++attempts));
        }
    });
    order_rollout(seconds(4));
    bool const has_all_requests = wait_until([&] { return recorded().share == 1; });
    fleet.store().set_holding_writes(true);
    bool const is_completing = wait_until([&] { return is_held("complete"); });
    new_target->target->set_failing(true);
    bool const is_taken_back_meanwhile =
        wait_until([&] { return is_held("complete") && is_held("rolled_back"); });
    bool const is_blocked_meanwhile = is_blocked(*new_target);
    fleet.store().set_holding_writes(false);
    is_stopped = true;
    lookups.join();
    CHECK(has_all_requests);
    CHECK(is_completing);
    CHECK(is_taken_back_meanwhile);
    CHECK(is_blocked_meanwhile);
    CHECK(wait_until([&] { return status().find("running") == std::string::npos; }));
}

// Guards against a service that is out while its old targets are sound: its new version was
// condemned at full share, its gates refuse every request, and the store does not take the
// roll-back (CONFIG on kcg-mesh, second report).
TEST(rollout_verdict, old_targets_serve_while_the_roll_back_waits_at_the_store) {
    order_rollout(seconds(60));
    auto last_step = recorded();
    last_step.step = 3;
    last_step.share = 1;
    fleet.store().put("peridot", "rollout/deposits", encode_rollout(last_step));
    CHECK(wait_until([&] {
        wait_until_served();
        return new_target->target->run_count() > 0;
    }));
    fleet.store().set_unavailable(true);
    CHECK(send_verdict(*new_target));
    CHECK(wait_until([&] { return is_blocked(*new_target); }));
    for (int round = 0; round < 30; ++round) {
        auto const answer = fleet.call(*caller, "/get/1", "blocked-" + std::to_string(++attempts));
        CHECK(answer && answer->status == 200);
    }
    STRCMP_CONTAINS("running", status().c_str());
}
