#include "http/http_request.h"
#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/http_caller.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
// Rows that the store writes between two versions of the configuration, so that the revisions
// before a restore are clearly above those after it.
constexpr int other_writes = 40;
// Time in which a state that must not change is observed.
constexpr milliseconds observation_time{3000};

} // namespace

// A store that comes back from an earlier copy of its rows, as in a drill of the users.
TEST_GROUP(store_restore) {
    sidecar_fleet fleet;
    http_caller sender;
    std::vector<mesh_instance*> instances;
    int attempts = 0;

    // Two targets of the called service and a caller, in three availability zones.
    void setup() override {
        this->fleet.configure(1, 1);
        this->add("plants", {.availability_zone = "ariana"});
        this->add("deposits", {.availability_zone = "ben-arous"});
        this->add("deposits", {.availability_zone = "la-marsa"});
        CHECK(this->wait_until_in_force(0));
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    mesh_instance& add(std::string const& service, instance_options const& options) {
        this->instances.push_back(&this->fleet.add(service, options));
        return *this->instances.back();
    }

    unsigned status_of(mesh_instance const& from, std::string const& path) {
        auto const answer =
            this->fleet.call(from, path, "attempt-" + std::to_string(++this->attempts));
        return answer ? answer->status : 0;
    }

    // Whether all nodes serve the additional route with the given number.
    bool is_in_force(std::size_t route) {
        return std::ranges::all_of(this->instances, [&](mesh_instance const* instance) {
            return this->status_of(*instance, "/more" + std::to_string(route) + "/1") == status_ok;
        });
    }

    bool wait_until_in_force(std::size_t route) {
        return wait_until([&] { return this->is_in_force(route); });
    }

    void write_other_rows(int count = other_writes) {
        for (int index = 0; index < count; ++index) {
            this->fleet.store().put("op", "unrelated", std::to_string(index));
        }
    }

    // The store is away while it goes back to the copy, so all nodes lose their feeds.
    void restore(store_standin::copy const& earlier, milliseconds clock_step = milliseconds(0)) {
        this->fleet.store().set_unavailable(true);
        this->fleet.store().restore(earlier, clock_step);
        std::this_thread::sleep_for(milliseconds(300));
        this->fleet.store().set_unavailable(false);
    }

    std::string record_of(mesh_instance const& instance) {
        return this->fleet.store().value("peridot", "member/" + instance.name);
    }

    bool wait_until_recorded(mesh_instance const& instance, std::string const& state) {
        return wait_until([&] {
            return this->record_of(instance).find("\"" + state + "\"") != std::string::npos;
        });
    }

    void order_rollout(std::string const& version) {
        this->fleet.store().put("op", "rollout/deposits",
                                R"({"Service":"deposits","To":")" + version +
                                    R"(","DurationS":60})");
    }

    std::string status() {
        return this->fleet.store().value("status", "rollout/deposits");
    }

    bool wait_until_status(std::string const& state) {
        return wait_until([&] { return this->status().find(state) != std::string::npos; });
    }

    std::string metrics_of(mesh_instance const& instance) {
        auto const answer = this->sender.call(sidecar_fleet::control_address(instance),
                                              {"GET", "/metrics", {}, {}});
        return answer ? answer->body : std::string();
    }

    bool is_blocked(mesh_instance const& instance) {
        return this->metrics_of(instance).find("peridot_gate_version_blocked 1") !=
               std::string::npos;
    }

    // Adds a target of another version that fails every request, orders the roll-out to it, and
    // waits until it is rolled back.
    mesh_instance& roll_back_bad_version() {
        auto& bad = this->add("deposits", {.version = "v2", .availability_zone = "ariana"});
        bad.target->set_failing(true);
        CHECK(wait_until([&] { return this->fleet.is_ready(bad); }));
        CHECK(this->wait_until_recorded(bad, "ready"));
        this->order_rollout("v2");
        CHECK(wait_until([&] {
            this->status_of(*this->instances.front(), "/get/1");
            return this->status().find("rolled_back") != std::string::npos;
        }));
        return bad;
    }
};

// Guards against nodes that take every row of a restored store for old, so that they keep an older
// configuration for as long as its revisions stay behind (CONFIG on kcg-mesh-grown).
TEST(store_restore, new_configuration_is_in_force_while_revisions_stay_behind) {
    auto const earlier = fleet.store().make_copy();
    write_other_rows();
    fleet.configure(2, 2);
    CHECK(wait_until_in_force(1));
    restore(*earlier);
    fleet.configure(2, 2);
    fleet.configure(3, 3);
    CHECK(wait_until_in_force(2));
}

// Guards against a roll-back that the operator cannot see any more, and against a version that is
// judged anew although it was taken back.
TEST(store_restore, roll_back_in_the_lost_seconds_stays_and_is_recorded_again) {
    auto const earlier = fleet.store().make_copy();
    auto& bad = roll_back_bad_version();
    CHECK(wait_until([&] { return is_blocked(bad); }));
    auto const before = bad.target->run_count();
    restore(*earlier);
    order_rollout("v2");
    CHECK(wait_until_status("rolled_back"));
    CHECK(is_blocked(bad));
    UNSIGNED_LONGS_EQUAL(before, bad.target->run_count());
}

// Guards against a target that serves but has no record, so that nodes that start later cannot
// know it.
TEST(store_restore, target_that_joined_in_the_lost_seconds_is_recorded_again) {
    auto const earlier = fleet.store().make_copy();
    auto& joined = add("deposits", {.availability_zone = "ariana"});
    CHECK(wait_until_recorded(joined, "ready"));
    restore(*earlier);
    CHECK(wait_until_recorded(joined, "ready"));
}
