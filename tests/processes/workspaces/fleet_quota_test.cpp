#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"
#include "processes/workspaces/caller_threads.h"
#include "processes/workspaces/densest_window.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <csignal>
#include <iostream>
#include <string>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr auto key = "key-of-the-bakery-7c1f";
constexpr double rate = 20;
constexpr double burst = 10;
constexpr seconds window{5};
// docs/hard-load.md, section 3.2.
constexpr auto most_in_a_window =
    static_cast<std::size_t>((rate * window.count() + burst) * 1.1 + 20);
// More than the burst and all that is allowed beyond the quota, so they need its rate.
constexpr std::size_t runs_of_a_phase = 50;
constexpr std::size_t runs_of_two_windows = 200;

} // namespace

// Callers at three nodes that ask for several times the quota of their workspace.
TEST_GROUP(fleet_quota) {
    sidecar_fleet fleet;
    std::array<mesh_instance*, 3> nodes{};
    configuration_options options;

    void setup() override {
        this->options.workspaces = {{"bakery", {key}, rate, burst}};
        this->fleet.configure(1, this->options);
        for (auto& node : this->nodes) {
            node = &this->fleet.add("deposits");
        }
        for (auto const* node : this->nodes) {
            CHECK(wait_until([&] { return this->fleet.is_ready(*node); }));
        }
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    std::size_t run_count() const {
        std::size_t sum = 0;
        for (auto const* node : this->nodes) {
            sum += node->target->run_count();
        }
        return sum;
    }

    void wait_for_runs(std::size_t more) const {
        auto const before = this->run_count();
        CHECK(wait_until([&] { return this->run_count() >= before + more; }));
    }

    void check_quota() const {
        std::vector<std::chrono::steady_clock::time_point> arrivals;
        for (auto const* node : this->nodes) {
            auto const own = node->target->arrivals();
            arrivals.insert(arrivals.end(), own.begin(), own.end());
        }
        auto const most = densest_window(arrivals, window);
        CHECK_TEXT(most <= most_in_a_window, (std::to_string(most) + " runs in a window").c_str());
    }

    void add_callers(caller_threads & callers) const {
        for (auto const* node : this->nodes) {
            callers.add(*node, key);
            callers.add(*node, key);
        }
    }
};

// Guards against nodes that each admit the whole quota, and against refusals that do not say when
// to return.
TEST(fleet_quota, holds_over_all_nodes) {
    caller_threads callers;
    add_callers(callers);
    wait_for_runs(runs_of_two_windows);
    callers.stop();
    check_quota();
    CHECK(callers.count(429) > 0);
    UNSIGNED_LONGS_EQUAL(0, callers.count_without_time());
}

// Guards against tokens that are lent twice, or not at all, after a node with a pool was killed.
TEST(fleet_quota, holds_while_each_node_is_killed) {
    caller_threads callers;
    add_callers(callers);
    wait_for_runs(runs_of_a_phase);
    for (auto* node : nodes) {
        node->node->end();
        wait_for_runs(runs_of_a_phase);
        fleet.restart(*node);
        CHECK(wait_until([&] { return fleet.is_ready(*node); }));
    }
    wait_for_runs(runs_of_a_phase);
    callers.stop();
    check_quota();
}

// Guards against delegations that wait at a frozen node with a pool and count again when it
// resumes.
TEST(fleet_quota, holds_while_each_node_is_frozen) {
    caller_threads callers;
    add_callers(callers);
    wait_for_runs(runs_of_a_phase);
    for (auto* node : nodes) {
        node->node->send(SIGSTOP);
        wait_for_runs(runs_of_a_phase);
        node->node->send(SIGCONT);
        wait_for_runs(runs_of_a_phase);
    }
    callers.stop();
    check_quota();
}

// Guards against quotas that need the store.
TEST(fleet_quota, holds_while_the_store_is_silent) {
    caller_threads callers;
    add_callers(callers);
    wait_for_runs(runs_of_a_phase);
    fleet.store().set_silent(true);
    wait_for_runs(runs_of_two_windows);
    callers.stop();
    check_quota();
}
