#include "moves/local_suspicion.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

void record(local_suspicion& suspicion, target_side side, call_outcome outcome, int calls) {
    for (int index = 0; index < calls; ++index) {
        suspicion.record(steady_time(), {side, call_attempt::first, outcome, milliseconds(5), 0});
    }
}

} // namespace

TEST_GROUP(local_suspicion){};

// Guards against a node that sends requests to a broken version until the judges decide.
TEST(local_suspicion, gross_failures_suspend_the_new_version_for_the_hold_time) {
    local_suspicion suspicion;
    record(suspicion, target_side::old_version, call_outcome::succeeded, 50);
    record(suspicion, target_side::new_version, call_outcome::failed, 8);
    CHECK_FALSE(suspicion.is_suspected(steady_time()));
    record(suspicion, target_side::new_version, call_outcome::failed, 1);
    CHECK_TRUE(suspicion.is_suspected(steady_time()));
    CHECK_FALSE(suspicion.is_suspected(steady_time() + local_suspicion::initial_hold));
}

// Guards against a suspicion of the new version when both versions fail or its calls were refused.
TEST(local_suspicion, shared_faults_and_refusals_cause_no_suspicion) {
    local_suspicion suspicion;
    record(suspicion, target_side::old_version, call_outcome::failed, 25);
    record(suspicion, target_side::new_version, call_outcome::failed, 20);
    CHECK_FALSE(suspicion.is_suspected(steady_time()));
    local_suspicion refused;
    record(refused, target_side::new_version, call_outcome::not_judged, 20);
    CHECK_FALSE(refused.is_suspected(steady_time()));
}
