#include "mesh/store_backoff.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

// Number of attempts of a node within the time if each one fails immediately.
int attempts_within(milliseconds time, store_role role, random_source& random) {
    store_backoff backoff;
    int attempts = 1;
    for (auto elapsed = backoff.next(role, random); elapsed < time;
         elapsed += backoff.next(role, random)) {
        ++attempts;
    }
    return attempts;
}

} // namespace

TEST_GROUP(store_backoff) {
    random_source random{1};
};

// Guards against a fleet that calls a store which resets connections twice a second from each node.
// Relying nodes get the recovery of the store from the leading ones.
TEST(store_backoff, relying_nodes_rarely_call_a_failing_store) {
    for (int node = 0; node < 1000; ++node) {
        CHECK(attempts_within(seconds(8), store_role::relying, random) <= 5);
    }
}

// Guards against a recovery of the store that the leading nodes, and therefore all nodes, detect
// late.
TEST(store_backoff, leading_nodes_retry_at_least_once_a_second) {
    store_backoff backoff;
    for (int failure = 0; failure < 1000; ++failure) {
        auto const pause = backoff.next(store_role::leading, random);
        CHECK(pause > milliseconds(0));
        CHECK(pause <= seconds(1));
    }
}

// Guards against nodes that keep the long pauses of an outage after the store has recovered.
TEST(store_backoff, reset_restores_the_initial_pause) {
    store_backoff backoff;
    for (int failure = 0; failure < 10; ++failure) {
        (void)backoff.next(store_role::leading, random);
    }
    backoff.reset();
    CHECK(backoff.next(store_role::leading, random) <= milliseconds(100));
}

// Guards against pauses that stay short after a node is no longer leading.
TEST(store_backoff, role_is_applied_at_each_failure) {
    store_backoff backoff;
    (void)backoff.next(store_role::leading, random);
    CHECK(backoff.next(store_role::relying, random) >= seconds(1));
}
