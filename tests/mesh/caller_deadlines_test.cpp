#include "mesh/caller_deadlines.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

boot_time const begin{std::chrono::hours(1)};

} // namespace

TEST_GROUP(caller_deadlines) {
    caller_deadlines deadlines;

    long waited(int time_left, boot_time now = begin) {
        return static_cast<long>(
            this->deadlines.observe("browse", milliseconds(time_left), now).count());
    }
};

// Guards against attempts of callers that have been refused and return, which push fresh requests
// past their target latency: on zampa-mesh trouble-3 a fifth of the fresh ones came late.
TEST(caller_deadlines, returning_caller_is_known_to_have_waited) {
    LONGS_EQUAL(0, waited(2500));
    LONGS_EQUAL(500, waited(1500));
    LONGS_EQUAL(1900, waited(100));
}

// Guards against fresh requests that are put behind others because their callers allow less time.
TEST(caller_deadlines, spread_among_callers_is_no_sign_of_waiting) {
    LONGS_EQUAL(0, waited(2500));
    for (int time_left = 2000; time_left <= 2500; time_left += 50) {
        LONGS_EQUAL(0, waited(time_left));
    }
}

// Guards against callers that count as late for good after their common deadline was lowered.
TEST(caller_deadlines, lower_deadline_of_all_callers_is_learnt) {
    LONGS_EQUAL(0, waited(5000));
    LONGS_EQUAL(3000, waited(1000, begin + seconds(9)));
    LONGS_EQUAL(3000, waited(1000, begin + seconds(11)));
    LONGS_EQUAL(0, waited(1000, begin + seconds(22)));
}

// Guards against one route's deadline that decides on the requests of another.
TEST(caller_deadlines, routes_are_told_apart) {
    LONGS_EQUAL(0, waited(5000));
    LONGS_EQUAL(0, deadlines.observe("order-check", milliseconds(400), begin).count());
}
