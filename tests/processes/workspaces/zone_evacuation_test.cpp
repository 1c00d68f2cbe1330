#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <string>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr int calls_in_a_round = 30;

} // namespace

// Operators evacuate availability zones while callers send requests.
TEST_GROUP(zone_evacuation) {
    sidecar_fleet fleet;
    mesh_instance* caller = nullptr;
    mesh_instance* ariana = nullptr;
    mesh_instance* marsa = nullptr;
    int attempts = 0;

    void setup() override {
        this->fleet.configure(1);
        this->caller = &this->fleet.add("plants");
        this->ariana = &this->fleet.add("deposits");
        instance_options other_zone;
        other_zone.availability_zone = "la-marsa";
        this->marsa = &this->fleet.add("deposits", other_zone);
        for (auto const* node : {this->caller, this->ariana, this->marsa}) {
            CHECK(wait_until([&] { return this->fleet.is_ready(*node); }));
        }
        // The caller prefers its own zone.
        CHECK(wait_until(
            [&] { return this->call() == 200 && this->ariana->target->run_count() > 0; }));
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    std::optional<http_response> answer() {
        return this->fleet.call(*this->caller, "/get/1",
                                "attempt-" + std::to_string(++this->attempts));
    }

    unsigned call() {
        auto const received = this->answer();
        return received ? received->status : 0;
    }

    void evacuate(std::string const& zone) {
        this->fleet.store().put("op", "evacuate/" + zone, "{}");
        auto const is_known = [&](mesh_instance const& instance) {
            return instance.node->output().find("\"zone_evacuated\",\"zone\":\"" + zone) !=
                   std::string::npos;
        };
        CHECK(wait_until([&] {
            return is_known(*this->caller) && is_known(*this->ariana) && is_known(*this->marsa);
        }));
    }

    // Every call is served, and none of them by the given instance.
    void check_round_without(mesh_instance const& evacuated) {
        auto const before = evacuated.target->run_count();
        for (int round = 0; round < calls_in_a_round; ++round) {
            UNSIGNED_LONGS_EQUAL(200, this->call());
        }
        UNSIGNED_LONGS_EQUAL(before, evacuated.target->run_count());
    }
};

// Guards against requests to a zone that the operators have evacuated, also while the store is away
// and on nodes that have started since, and against an evacuation that does not end.
TEST(zone_evacuation, evacuated_zone_gets_nothing_until_the_row_is_removed) {
    evacuate("ariana");
    CHECK(wait_until([&] { return call() == 200 && marsa->target->run_count() > 0; }));
    check_round_without(*ariana);
    fleet.store().set_silent(true);
    check_round_without(*ariana);
    fleet.store().set_silent(false);
    ariana->node->end();
    fleet.restart(*ariana);
    CHECK(wait_until([&] { return fleet.is_ready(*ariana); }));
    check_round_without(*ariana);
    fleet.store().remove("op", "evacuate/ariana");
    auto const before = ariana->target->run_count();
    CHECK(wait_until([&] { return call() == 200 && ariana->target->run_count() > before; }));
}

// Guards against callers that get no answer, or no time to return, when no zone is left.
TEST(zone_evacuation, callers_are_told_to_return_when_all_zones_are_evacuated) {
    evacuate("ariana");
    evacuate("la-marsa");
    auto const before = ariana->target->run_count() + marsa->target->run_count();
    for (int round = 0; round < calls_in_a_round; ++round) {
        auto const received = answer();
        CHECK(received.has_value());
        UNSIGNED_LONGS_EQUAL(503, received->status);
        CHECK(!received->headers.value("Retry-After").empty());
    }
    UNSIGNED_LONGS_EQUAL(before, ariana->target->run_count() + marsa->target->run_count());
    CHECK(caller->node->output().find("evacuation_leaves_no_target") != std::string::npos);
    fleet.store().remove("op", "evacuate/la-marsa");
    CHECK(wait_until([&] { return call() == 200; }));
}
