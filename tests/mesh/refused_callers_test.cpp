#include "mesh/refused_callers.h"

#include "core/time.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace peridot;

namespace {

boot_time const begin{std::chrono::hours(1)};

} // namespace

TEST_GROUP(refused_callers) {
    refused_callers callers;
};

// Guards against a caller whose retries count as many callers, and against a newcomer that is taken
// for one that has come back.
TEST(refused_callers, caller_is_recognized_by_its_deadline) {
    callers.add("a", "read", begin + milliseconds(1000), begin);
    CHECK_FALSE(callers.take("b", "read", begin + milliseconds(1000)));
    CHECK_FALSE(callers.take("a", "write", begin + milliseconds(1000)));
    CHECK_FALSE(callers.take("a", "read", begin + milliseconds(1010)));
    CHECK(callers.take("a", "read", begin + milliseconds(1002)));
    // Each refusal is taken back by one attempt.
    CHECK_FALSE(callers.take("a", "read", begin + milliseconds(1000)));
}

// Guards against memory that grows with the number of refusals.
TEST(refused_callers, refusals_are_bounded_and_forgotten) {
    for (int count = 0; count < 10'000; ++count) {
        callers.add("a", "read", begin + milliseconds(1000), begin);
    }
    int taken = 0;
    while (callers.take("a", "read", begin + milliseconds(1000))) {
        ++taken;
    }
    CHECK(taken <= 256);
    constexpr int routes = 1000;
    for (int count = 0; count < 100 * routes; ++count) {
        callers.add("a", std::to_string(count % routes), begin + milliseconds(1000), begin);
    }
    int taken_of_all = 0;
    for (int route = 0; route < routes; ++route) {
        while (callers.take("a", std::to_string(route), begin + milliseconds(1000))) {
            ++taken_of_all;
        }
    }
    LONGS_EQUAL(8192, taken_of_all);
    callers.add("a", "read", begin + milliseconds(1000), begin);
    callers.forget_expired(begin + milliseconds(1001));
    CHECK_FALSE(callers.take("a", "read", begin + milliseconds(1000)));
}
