#include "node/drain_watch.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

TEST_GROUP(drain_watch) {
    steady_time start;
    drain_watch watch{{milliseconds(2000), milliseconds(500), milliseconds(10'000)}, start};

    steady_time after(int elapsed) const {
        return this->start + milliseconds(elapsed);
    }
};

// Guards against a node that ends at the moment of its last answer: the caller asks again at once
// and finds its connection reset, which tells it nothing about its request.
TEST(drain_watch, is_not_over_right_after_the_last_answer) {
    watch.record(1, after(2400));
    watch.record(0, after(2450));
    CHECK(!watch.is_over(after(2450)));
    CHECK(!watch.is_over(after(2890)));
    CHECK(watch.is_over(after(2900)));
}

// Guards against a node that ends while other nodes still choose it.
TEST(drain_watch, is_not_over_before_the_others_know) {
    watch.record(0, after(0));
    CHECK(!watch.is_over(after(1999)));
    CHECK(watch.is_over(after(2000)));
}

// Guards against a stop that never ends because requests keep arriving.
TEST(drain_watch, is_over_after_the_longest_time) {
    watch.record(3, after(9990));
    CHECK(!watch.is_over(after(9999)));
    CHECK(watch.is_over(after(10'000)));
}
