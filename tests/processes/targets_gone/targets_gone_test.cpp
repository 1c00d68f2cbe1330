#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <string>
#include <vector>

using namespace peridot;
using namespace peridot::processes;

// Targets that have ended without deregistering, while the nodes beside them still run.
TEST_GROUP(targets_gone) {
    sidecar_fleet fleet;
    int attempts = 0;

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

    std::string record_of(mesh_instance const& instance) {
        return this->fleet.store().value("peridot", "member/" + instance.name);
    }
};

// Guards against a request that is refused although a target is in service, because all its offers
// went to nearer targets that are gone.
TEST(targets_gone, request_reaches_the_one_that_is_left) {
    constexpr std::size_t gone_count = 10;
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    instance_options other_zone;
    other_zone.availability_zone = "la-marsa";
    auto& left = fleet.add("deposits", other_zone);
    CHECK(wait_until([&] { return status_of_call(caller) == 200; }));
    std::vector<mesh_instance*> gone;
    for (std::size_t index = 0; index < gone_count; ++index) {
        gone.push_back(&fleet.add("deposits"));
    }
    for (auto const* instance : gone) {
        CHECK(wait_until([&] {
            status_of_call(caller);
            return instance->target->run_count() > 0;
        }));
    }
    for (auto* instance : gone) {
        instance->target.reset();
    }
    auto const before = left.target->run_count();
    UNSIGNED_LONGS_EQUAL(200, status_of_call(caller));
    UNSIGNED_LONGS_EQUAL(before + 1, left.target->run_count());
}

// Guards against senders that go on offering requests to a target that has ended without a word,
// since its record still says that it is ready; and against one that stays unused after it has
// returned.
TEST(targets_gone, record_says_that_a_target_cannot_be_reached) {
    fleet.configure(1);
    auto& caller = fleet.add("plants");
    auto& gone = fleet.add("deposits");
    CHECK(wait_until([&] { return status_of_call(caller) == 200; }));
    gone.target.reset();
    CHECK(wait_until([&] {
        status_of_call(caller);
        return record_of(gone).find(R"("state":"unreachable")") != std::string::npos;
    }));
    fleet.replace_target(gone, "i-returned");
    CHECK(wait_until([&] { return status_of_call(caller) == 200; }));
    CHECK(gone.target->run_count() > 0);
}
