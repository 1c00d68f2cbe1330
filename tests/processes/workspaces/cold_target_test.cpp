#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"
#include "processes/workspaces/caller_threads.h"
#include "processes/workspaces/densest_window.h"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <string>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr double cold_rate = 10;
// docs/hard-load.md, section 3.4.
constexpr auto most_in_a_second = static_cast<std::size_t>(cold_rate * 1.5 + 8);
constexpr std::size_t runs_of_some_seconds = 40;
// Longer than any test.
constexpr seconds cold{1000};

} // namespace

// A target that is cold, and callers that would send it more than it can bear.
TEST_GROUP(cold_target) {
    sidecar_fleet fleet;
    mesh_instance* first = nullptr;
    mesh_instance* second = nullptr;
    mesh_instance* deposits = nullptr;

    void setup() override {
        configuration_options options;
        options.cold_rate = cold_rate;
        this->fleet.configure(1, options);
        this->first = &this->fleet.add("plants");
        this->second = &this->fleet.add("plants");
        instance_options with_cold_target;
        with_cold_target.target_cold = cold;
        this->deposits = &this->fleet.add("deposits", with_cold_target);
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    void add_callers(caller_threads & callers) const {
        for (auto const* node : {this->first, this->second}) {
            callers.add(*node, "");
            callers.add(*node, "");
        }
    }

    std::size_t most_runs_in_a_second() const {
        return densest_window(this->deposits->target->arrivals(), seconds(1));
    }

    void wait_for_runs(std::size_t count) const {
        CHECK(wait_until([&] { return this->deposits->target->run_count() >= count; }));
    }
};

// Guards against the full load on a target that states that it is cold, and against a limit that
// outlasts this state.
TEST(cold_target, is_limited_as_long_as_its_heartbeats_say_so) {
    caller_threads callers;
    add_callers(callers);
    wait_for_runs(runs_of_some_seconds);
    CHECK(most_runs_in_a_second() <= most_in_a_second);
    deposits->target->set_cold(seconds(0));
    CHECK(wait_until([&] { return most_runs_in_a_second() > most_in_a_second; }));
}

// Guards against the full load on a target that comes back cold after it was warm.
TEST(cold_target, is_limited_after_its_restart) {
    deposits->target->set_cold(seconds(0));
    caller_threads callers;
    add_callers(callers);
    CHECK(wait_until([&] { return most_runs_in_a_second() > most_in_a_second; }));
    fleet.replace_target(*deposits, "i-restarted", cold);
    wait_for_runs(runs_of_some_seconds);
    CHECK(most_runs_in_a_second() <= most_in_a_second);
}

// Guards against the full load after the node beside a cold target was restarted.
TEST(cold_target, is_limited_after_a_restart_of_its_node) {
    caller_threads callers;
    add_callers(callers);
    wait_for_runs(runs_of_some_seconds);
    deposits->node->end();
    fleet.restart(*deposits);
    wait_for_runs(2 * runs_of_some_seconds);
    CHECK(most_runs_in_a_second() <= most_in_a_second);
}
