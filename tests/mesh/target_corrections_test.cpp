#include "mesh/target_corrections.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

TEST_GROUP(target_corrections) {
    target_corrections corrections;
    member recorded;
    target_record found;

    void setup() override {
        this->recorded.instance = "a-1";
        this->recorded.revision = 7;
        this->recorded.target.id = "old";
        this->recorded.target.service = "deposits";
        this->recorded.target.version = "v1";
        this->recorded.target.started_ms = 1000;
        this->found = this->recorded.target;
        this->found.id = "new";
        this->found.started_ms = 2000;
    }
};

// Guards against requests that are refused until the records of new targets have spread: half a
// second in which nobody was served after a loss of power (zampa-mesh-grown trouble-1, 2,000
// refusals).
TEST(target_corrections, new_target_takes_the_place_of_the_recorded_one) {
    CHECK(corrections.learn(recorded, found));
    STRCMP_EQUAL("new", corrections.apply(recorded).target.id.c_str());
}

// Guards against a correction that outlives the record which it corrected.
TEST(target_corrections, newer_record_counts_by_itself) {
    CHECK(corrections.learn(recorded, found));
    recorded.revision = 8;
    recorded.target.id = "newest";
    STRCMP_EQUAL("newest", corrections.apply(recorded).target.id.c_str());
}

// Guards against requests for a version that has no share of them, and for another service.
TEST(target_corrections, target_of_another_kind_does_not_take_its_place) {
    auto other = found;
    other.version = "v2";
    CHECK_FALSE(corrections.learn(recorded, other));
    other = found;
    other.service = "payouts";
    CHECK_FALSE(corrections.learn(recorded, other));
    other = found;
    other.state = target_state::draining;
    CHECK_FALSE(corrections.learn(recorded, other));
    STRCMP_EQUAL("old", corrections.apply(recorded).target.id.c_str());
}

// Guards against a restarted node that still holds the record of an earlier target.
TEST(target_corrections, earlier_target_does_not_take_its_place) {
    found.started_ms = 500;
    CHECK_FALSE(corrections.learn(recorded, found));
}
