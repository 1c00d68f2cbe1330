#include "mesh/rollout.h"
#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"
#include "sidecar/rollout_json.h"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <string>

using namespace peridot;
using namespace peridot::processes;

// A roll-out of the service deposits from v1 to v2, whose new targets end without a word while the
// nodes beside them still run.
TEST_GROUP(unreachable_version) {
    sidecar_fleet fleet;
    mesh_instance* caller = nullptr;
    mesh_instance* new_target = nullptr;
    int attempts = 0;

    void setup() override {
        this->fleet.configure(1);
        this->caller = &this->fleet.add("plants");
        this->fleet.add("deposits");
        CHECK(wait_until([&] { return this->status_of_call() == 200; }));
        this->new_target = &this->fleet.add("deposits", {.version = "v2"});
        CHECK(wait_until([&] { return this->fleet.is_ready(*this->new_target); }));
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

    // Orders a roll-out and gives all requests to the new version once it has begun.
    void begin_last_step() {
        this->fleet.store().put("op", "rollout/deposits",
                                R"({"Service":"deposits","To":"v2","DurationS":60})");
        CHECK(wait_until(
            [&] { return !this->fleet.store().value("peridot", "rollout/deposits").empty(); }));
        auto const begun = decode_rollout(this->fleet.store().value("peridot", "rollout/deposits"));
        CHECK(is_ok(begun));
        auto last_step = value(begun);
        last_step.step = 3;
        last_step.share = 1;
        this->fleet.store().put("peridot", "rollout/deposits", encode_rollout(last_step));
        CHECK(wait_until([&] {
            this->status_of_call();
            return this->new_target->target->run_count() > 0;
        }));
    }
};

// Guards against requests that are refused at full share although the old targets are sound
// (kcg-mesh, CONFIG, second report).
TEST(unreachable_version, requests_at_full_share_reach_the_old_version) {
    begin_last_step();
    new_target->target.reset();
    for (int round = 0; round < 30; ++round) {
        UNSIGNED_LONGS_EQUAL(200, status_of_call());
    }
}
