#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr std::size_t target_count = 6;

} // namespace

// Nodes of one availability zone whose targets change at the same time.
TEST_GROUP(store_calls) {
    sidecar_fleet fleet;
    std::vector<mesh_instance*> instances;
    int attempts = 0;

    void setup() override {
        this->fleet.configure(1);
        for (std::size_t index = 0; index < target_count; ++index) {
            this->instances.push_back(&this->fleet.add("deposits"));
        }
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    bool is_recorded(mesh_instance const& instance, std::string const& target) {
        return this->fleet.store()
                   .value("peridot", "member/" + instance.name)
                   .find("\"" + target + "\"") != std::string::npos;
    }

    bool wait_until_recorded(std::string const& prefix) {
        return wait_until([&] {
            return std::ranges::all_of(this->instances, [&](mesh_instance const* instance) {
                return this->is_recorded(*instance, prefix + instance->name);
            });
        });
    }

    // All nodes serve, and for two seconds no more than one of them has followed the store. At
    // their start all do so for a moment.
    bool wait_until_settled() {
        int calm_checks = 0;
        return wait_until([&] {
            bool const is_served =
                std::ranges::all_of(this->instances, [&](mesh_instance const* instance) {
                    auto const answer = this->fleet.call(
                        *instance, "/get/1", "attempt-" + std::to_string(++this->attempts));
                    return answer && answer->status == 200;
                });
            bool const is_calm = is_served && this->fleet.store().waiting_feeds() <= 2;
            calm_checks = is_calm ? calm_checks + 1 : 0;
            std::this_thread::sleep_for(milliseconds(100));
            return calm_checks >= 20;
        });
    }

    void replace_targets(std::string const& prefix) {
        for (auto* instance : this->instances) {
            this->fleet.replace_target(*instance, prefix + instance->name);
        }
    }
};

// Guards against a call to the store for each target that changes, where a release or a restart
// changes many at once.
TEST(store_calls, changes_of_many_targets_are_written_together) {
    CHECK(wait_until_settled());
    auto const calls_before = fleet.store().requested_transactions();
    auto const rows_before = fleet.store().written_rows();
    replace_targets("i-new-");
    CHECK(wait_until_recorded("i-new-"));
    auto const calls = fleet.store().requested_transactions() - calls_before;
    auto const rows = fleet.store().written_rows() - rows_before;
    CHECK(rows >= static_cast<int>(target_count));
    CHECK(calls < rows);
}

// Guards against an outage in which each node with a change calls the store again and again, and
// against changes that are not recorded after it.
TEST(store_calls, outage_of_the_store_costs_few_calls) {
    CHECK(wait_until_settled());
    fleet.store().set_unavailable(true);
    std::this_thread::sleep_for(milliseconds(1500));
    auto const calls_before = fleet.store().requested_transactions();
    replace_targets("i-late-");
    std::this_thread::sleep_for(seconds(4));
    // Each node tries at once and again after one and three seconds at the earliest.
    auto const calls = fleet.store().requested_transactions() - calls_before;
    CHECK_COMPARE(calls, <=, static_cast<int>(3 * target_count));
    fleet.store().set_unavailable(false);
    CHECK(wait_until_recorded("i-late-"));
}
