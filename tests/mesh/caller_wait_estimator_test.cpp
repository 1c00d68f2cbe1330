#include "mesh/caller_wait_estimator.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

boot_time const begin{std::chrono::hours(1)};

} // namespace

TEST_GROUP(caller_wait_estimator) {
    caller_wait_estimator deadlines;

    long waited_ms(int time_left, boot_time now = begin) {
        return static_cast<long>(
            this->deadlines.observe("browse", milliseconds(time_left), now).count());
    }
};

// Guards against retries of refused callers that push fresh requests past their target latency: in
// zampa-mesh trouble-3, a fifth of the fresh requests were late.
TEST(caller_wait_estimator, retrying_caller_counts_its_earlier_wait) {
    LONGS_EQUAL(0, waited_ms(2500));
    LONGS_EQUAL(500, waited_ms(1500));
    LONGS_EQUAL(1900, waited_ms(100));
}

// Guards against fresh requests that are ranked behind others because their callers use a shorter
// timeout.
TEST(caller_wait_estimator, small_differences_between_callers_are_not_waits) {
    LONGS_EQUAL(0, waited_ms(2500));
    for (int time_left = 2000; time_left <= 2500; time_left += 50) {
        LONGS_EQUAL(0, waited_ms(time_left));
    }
}

// Guards against callers that are treated as late permanently after their common deadline was
// lowered.
TEST(caller_wait_estimator, lower_common_deadline_is_adopted) {
    LONGS_EQUAL(0, waited_ms(5000));
    LONGS_EQUAL(3000, waited_ms(1000, begin + seconds(9)));
    LONGS_EQUAL(3000, waited_ms(1000, begin + seconds(11)));
    LONGS_EQUAL(0, waited_ms(1000, begin + seconds(22)));
}

// Guards against the deadline of one route being applied to requests of another.
TEST(caller_wait_estimator, routes_are_tracked_separately) {
    LONGS_EQUAL(0, waited_ms(5000));
    LONGS_EQUAL(0, deadlines.observe("order-check", milliseconds(400), begin).count());
}
