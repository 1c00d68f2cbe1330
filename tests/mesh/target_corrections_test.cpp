#include "mesh/target_corrections.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

TEST_GROUP(target_corrections) {
    target_corrections corrections;
    member recorded;
    target_record actual;

    void setup() override {
        this->recorded.instance = "a-1";
        this->recorded.revision = 7;
        this->recorded.target.id = "old";
        this->recorded.target.service = "deposits";
        this->recorded.target.version = "v1";
        this->recorded.target.started_ms = 1000;
        this->actual = this->recorded.target;
        this->actual.id = "new";
        this->actual.started_ms = 2000;
    }
};

// Guards against requests that are refused until the records of new targets have spread: after a
// power loss, no request was served for half a second (zampa-mesh-grown trouble-1, 2,000 refusals).
TEST(target_corrections, new_target_replaces_the_recorded_one) {
    CHECK(corrections.record(recorded, actual));
    STRCMP_EQUAL("new", corrections.apply(recorded).target.id.c_str());
}

// Guards against a correction that stays in force after its record was replaced by a newer one.
TEST(target_corrections, newer_record_overrides_the_correction) {
    CHECK(corrections.record(recorded, actual));
    recorded.revision = 8;
    recorded.target.id = "newest";
    STRCMP_EQUAL("newest", corrections.apply(recorded).target.id.c_str());
}

// Guards against requests for a version without a share, and for a different service.
TEST(target_corrections, incompatible_target_does_not_replace_the_recorded_one) {
    auto other = actual;
    other.version = "v2";
    CHECK_FALSE(corrections.record(recorded, other));
    other = actual;
    other.service = "payouts";
    CHECK_FALSE(corrections.record(recorded, other));
    other = actual;
    other.state = target_state::draining;
    CHECK_FALSE(corrections.record(recorded, other));
    STRCMP_EQUAL("old", corrections.apply(recorded).target.id.c_str());
}

// Guards against a restarted node that still reports the record of an earlier target.
TEST(target_corrections, older_target_does_not_replace_the_recorded_one) {
    actual.started_ms = 500;
    CHECK_FALSE(corrections.record(recorded, actual));
}
