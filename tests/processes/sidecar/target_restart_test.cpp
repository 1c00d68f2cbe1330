#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <string>

using namespace peridot;
using namespace peridot::processes;

// A target whose node is restarted while the target continues to run.
TEST_GROUP(target_restart) {
    sidecar_fleet fleet;
    mesh_instance* caller = nullptr;
    mesh_instance* restarted = nullptr;
    int attempts = 0;

    void setup() override {
        this->fleet.configure(1);
        this->caller = &this->fleet.add("plants");
        this->restarted = &this->fleet.add("deposits");
        CHECK(wait_until([&] { return this->status_of_call() == 200; }));
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    unsigned status_of_call() {
        auto const answer = this->fleet.call(*this->caller, "/pay/1",
                                             "attempt-" + std::to_string(++this->attempts));
        return answer ? answer->status : 0;
    }

    // Restarts the node and waits until it accepts requests.
    void restart_node() {
        this->restarted->node->end();
        this->fleet.restart(*this->restarted);
        CHECK(wait_until([&] { return this->fleet.is_ready(*this->restarted); }));
    }
};

// Guards against a leaving that is acknowledged while the store takes no writes, and forgotten by
// the next process of the node, which reads the older record: requests reached the target long
// after it had left.
TEST(target_restart, leaving_that_the_store_did_not_take_is_not_forgotten) {
    fleet.store().set_unavailable(true);
    CHECK(restarted->target->deregister());
    auto const before = restarted->target->run_count();
    restarted->node->end();
    fleet.store().set_unavailable(false);
    restart_node();
    for (int round = 0; round < 30; ++round) {
        UNSIGNED_LONGS_EQUAL(503, status_of_call());
    }
    UNSIGNED_LONGS_EQUAL(before, restarted->target->run_count());
}

// Guards against a target that stays unused after a restart of its node although it announces
// itself.
TEST(target_restart, living_target_is_used_after_its_next_announcement) {
    restart_node();
    auto const before = restarted->target->run_count();
    CHECK(wait_until([&] { return status_of_call() == 200; }));
    CHECK(restarted->target->run_count() > before);
}
