#include "mesh/rollout.h"
#include "mesh/rollout_plan.h"
#include "moves/evidence_report.h"
#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/http_caller.h"
#include "processes/support/wait_until.h"
#include "sidecar/rollout_json.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <iostream>
#include <string>
#include <thread>

using namespace peridot;
using namespace peridot::processes;

// A service whose first node, which steers its roll-outs, is turned away by the store.
TEST_GROUP(rollout_duty) {
    sidecar_fleet fleet;
    http_caller sender;
    mesh_instance* caller = nullptr;
    mesh_instance* first = nullptr;
    mesh_instance* bad = nullptr;
    std::atomic<int> attempts{0};

    // The first node uses another address of the store than the others.
    void setup() override {
        this->fleet.configure(1);
        instance_options served;
        served.store = this->fleet.store().second_address();
        this->caller = &this->fleet.add("plants", served);
        this->first = &this->fleet.add("deposits");
        this->fleet.add("deposits", served);
        CHECK(wait_until([&] { return this->status_of_call() == 200; }));
        served.version = "v2";
        this->bad = &this->fleet.add("deposits", served);
        CHECK(wait_until([&] { return this->fleet.is_ready(*this->bad); }));
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    unsigned status_of_call() {
        auto const answer = this->fleet.call(*this->caller, "/get/1",
                                             "attempt-" + std::to_string(++this->attempts));
        return answer ? answer->status : 0;
    }

    std::string status() {
        return this->fleet.store().value("status", "rollout/deposits");
    }

    void order_rollout() {
        this->fleet.store().put("op", "rollout/deposits",
                                R"({"Service":"deposits","To":"v2","DurationS":12})");
        CHECK(wait_until([&] { return !this->status().empty(); }));
    }

    unsigned send(mesh_instance const& receiver, std::string const& path, std::string body) {
        auto const answer = this->sender.call(sidecar_fleet::control_address(receiver),
                                              {"POST", path, {}, std::move(body)});
        return answer ? answer->status : 0;
    }

    static std::string evidence_for(std::string const& rollout) {
        evidence_report report{rollout, "instance-99", 1, 1, {}};
        report.routes["get"];
        return encode(report).front();
    }
};

// Guards against a bad version that is never taken back, because the node that has to steer the
// roll-out was started while the store turned it away and never learnt the store's clock.
TEST(rollout_duty, bad_version_is_taken_back_by_a_node_that_the_store_never_answered) {
    order_rollout();
    // Another announcement could be written through another node, whose answer has the clock.
    first->target->stop_heartbeats();
    fleet.store().set_silent(true);
    first->node->end();
    fleet.restart(*first);
    CHECK(wait_until([&] { return fleet.is_ready(*first); }));
    bad->target->set_failing(true);
    std::atomic<bool> is_stopped{false};
    std::vector<std::thread> callers;
    for (int index = 0; index < 3; ++index) {
        callers.emplace_back([&] {
            while (!is_stopped) {
                status_of_call();
            }
        });
    }
    bool const is_taken_back =
        wait_until([&] { return status().find("rolled_back") != std::string::npos; });
    is_stopped = true;
    for (auto& thread : callers) {
        thread.join();
    }
    CHECK(is_taken_back);
}

// Guards against evidence and verdicts that a node accepts and drops, because it does not know the
// roll-out: their sender then looks for no other node.
TEST(rollout_duty, messages_about_an_unknown_rollout_are_refused) {
    order_rollout();
    auto const row = decode_rollout(fleet.store().value("peridot", "rollout/deposits"));
    CHECK(is_ok(row));
    auto const known = rollout_id(value(row));
    CHECK(wait_until([&] { return send(*first, "/evidence", evidence_for(known)) == 200; }));
    UNSIGNED_LONGS_EQUAL(400, send(*first, "/evidence", evidence_for("r999999")));
    UNSIGNED_LONGS_EQUAL(400, send(*first, "/verdict", "r999999"));
    UNSIGNED_LONGS_EQUAL(400, send(*caller, "/evidence", evidence_for(known)));
}
