#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <string>
#include <thread>

using namespace peridot;
using namespace peridot::processes;

// A node that stops while its target continues to run.
TEST_GROUP(planned_stop) {
    sidecar_fleet fleet;
    std::atomic<int> attempts{0};

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    unsigned status_of_call(mesh_instance const& from) {
        auto const answer =
            this->fleet.call(from, "/get/1", "attempt-" + std::to_string(++this->attempts));
        return answer ? answer->status : 0;
    }
};

// Guards against a service that is out although its targets are sound: a stopping node refused the
// requests of other nodes for seconds, until the requests of its own callers had ended (CONFIG on
// kcg-mesh, second report).
TEST(planned_stop, target_serves_other_nodes_while_callers_of_the_node_wait) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& stopping = fleet.add("deposits");
    CHECK(wait_until([&] { return status_of_call(caller) == 200; }));
    CHECK(wait_until([&] { return status_of_call(stopping) == 200; }));
    auto const before = stopping.target->run_count();
    stopping.target->set_work_time(seconds(4));
    std::atomic<bool> has_ended{false};
    std::atomic<unsigned> long_status{0};
    std::thread long_request([&] {
        long_status = status_of_call(stopping);
        has_ended = true;
    });
    CHECK(wait_until([&] { return stopping.target->run_count() > before; }));
    stopping.target->set_work_time(milliseconds(1));
    stopping.node->send(SIGTERM);
    int refused = 0;
    while (!has_ended) {
        auto const status = status_of_call(caller);
        refused += status != 200 && !has_ended ? 1 : 0;
        std::this_thread::sleep_for(poll_pause);
    }
    long_request.join();
    LONGS_EQUAL(0, refused);
    UNSIGNED_LONGS_EQUAL(200, long_status);
    CHECK(stopping.node->exit_code() == 0);
}

// Guards against requests that fail at a target because its node, late in its stop, refuses the
// calls that they make (kcg-mesh, rolling restarts at the usual load).
TEST(planned_stop, calls_of_the_target_are_accepted_while_it_works) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& stopping = fleet.add("deposits");
    CHECK(wait_until([&] { return status_of_call(caller) == 200; }));
    auto const before = stopping.target->run_count();
    stopping.target->set_work_time(seconds(4));
    std::thread request([&] { status_of_call(caller); });
    CHECK(wait_until([&] { return stopping.target->run_count() > before; }));
    stopping.target->set_work_time(milliseconds(1));
    stopping.node->send(SIGTERM);
    // Only requests that end before the stop are accepted late.
    CHECK(wait_until([&] { return status_of_call(stopping) == 503; }));
    auto const call = fleet.call(stopping, "/get/1", "call", milliseconds(300));
    request.join();
    CHECK(call && call->status == 200);
    CHECK(stopping.node->exit_code() == 0);
}
