#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr std::size_t part_bytes = std::size_t{64} * 1024;
// More than a node receives before it passes the beginning on.
constexpr std::size_t large_parts = 12;

} // namespace

// A caller's node, and targets on other instances that answer with large bodies.
TEST_GROUP(large_body) {
    sidecar_fleet fleet;
    std::atomic<int> attempts{0};

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    std::optional<http_response> call(mesh_instance const& from, std::string const& path) {
        return this->fleet.call(from, path, "attempt-" + std::to_string(++this->attempts));
    }

    bool wait_until_served(mesh_instance const& from) {
        return wait_until([&] {
            auto const answer = this->call(from, "/get/1");
            return answer && answer->status == 200;
        });
    }

    static bool is_whole(std::optional<http_response> const& answer, std::size_t parts) {
        return answer && answer->status == 200 && answer->body.size() == parts * part_bytes;
    }
};

// Guards against large bodies that lose bytes between the target, its node, the caller's node and
// the caller, and against slots that are not released after them.
TEST(large_body, passes_whole_through_both_nodes) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& target = fleet.add("deposits");
    CHECK(wait_until_served(caller));
    for (std::size_t const parts : {std::size_t{1}, std::size_t{4}, std::size_t{5}, large_parts}) {
        target.target->set_large_bodies(parts);
        for (int round = 0; round < 10; ++round) {
            CHECK(is_whole(call(caller, "/get/1"), parts));
            CHECK(is_whole(call(caller, "/pay/1"), parts));
            CHECK(is_whole(call(target, "/get/1"), parts));
        }
    }
}

// Guards against a body that is cut and reaches the caller as a complete answer.
TEST(large_body, cut_body_is_no_answer) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& target = fleet.add("deposits");
    CHECK(wait_until_served(caller));
    target.target->set_large_bodies(large_parts);
    for (std::size_t const parts : {std::size_t{6}, large_parts - 1}) {
        target.target->cut_bodies_after(parts);
        CHECK_FALSE(call(caller, "/get/1").has_value());
        CHECK_FALSE(call(target, "/get/1").has_value());
    }
    // Nothing of the body has reached the caller yet.
    target.target->cut_bodies_after(1);
    auto const answer = call(caller, "/get/1");
    CHECK(answer && answer->status == 502);
    target.target->cut_bodies_after(large_parts + 1);
    CHECK(is_whole(call(caller, "/get/1"), large_parts));
}

// Guards against a lookup that fails although another target has the whole body.
TEST(large_body, lookup_whose_body_is_cut_early_is_repeated) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& cutting = fleet.add("deposits");
    auto& sound = fleet.add("deposits");
    CHECK(wait_until([&] {
        return wait_until_served(caller) && cutting.target->run_count() > 0 &&
               sound.target->run_count() > 0;
    }));
    cutting.target->set_large_bodies(large_parts);
    sound.target->set_large_bodies(large_parts);
    cutting.target->cut_bodies_after(1);
    auto const before = cutting.target->run_count();
    for (int round = 0; round < 20; ++round) {
        CHECK(is_whole(call(caller, "/get/1"), large_parts));
    }
    CHECK(cutting.target->run_count() > before);
}

// Guards against a download that is cut by a planned stop of one of the nodes that it passes.
TEST(large_body, planned_stop_completes_a_body_in_transfer) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& target = fleet.add("deposits");
    CHECK(wait_until_served(caller));
    // The transfer takes about 2.4 s, most of it after its beginning was passed on.
    target.target->set_large_bodies(large_parts, milliseconds(200));
    auto const before = target.target->run_count();
    std::vector<std::thread> callers;
    std::atomic<int> whole{0};
    for (int index = 0; index < 4; ++index) {
        callers.emplace_back(
            [&] { whole += is_whole(call(caller, "/pay/1"), large_parts) ? 1 : 0; });
    }
    bool const have_started = wait_until([&] { return target.target->run_count() == before + 4; });
    caller.node->send(SIGTERM);
    target.node->send(SIGTERM);
    for (auto& thread : callers) {
        thread.join();
    }
    CHECK(have_started);
    LONGS_EQUAL(4, whole);
    CHECK(caller.node->exit_code() == 0);
    CHECK(target.node->exit_code() == 0);
}
