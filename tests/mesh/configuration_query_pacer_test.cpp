#include "mesh/configuration_query_pacer.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

TEST_GROUP(configuration_query_pacer) {
    configuration_query_pacer pacer;
    steady_time now = steady_time(std::chrono::hours(1));
};

// Guards against a query for each response of a node that holds a newer configuration.
TEST(configuration_query_pacer, version_is_asked_for_once_at_a_time) {
    CHECK(pacer.try_start(1, 2, now));
    CHECK_FALSE(pacer.try_start(1, 2, now + milliseconds(10)));
    CHECK(pacer.try_start(1, 3, now + milliseconds(20)));
    CHECK_FALSE(pacer.try_start(1, 2, now + milliseconds(30)));
}

// Guards against a node that stays behind because its only query for a version failed.
TEST(configuration_query_pacer, version_that_is_still_missing_is_asked_for_again) {
    CHECK(pacer.try_start(1, 2, now));
    CHECK(pacer.try_start(1, 2, now + seconds(2)));
}

// Guards against queries for a configuration that has arrived from the regular source.
TEST(configuration_query_pacer, held_version_is_not_asked_for) {
    CHECK_FALSE(pacer.try_start(2, 2, now));
    CHECK_FALSE(pacer.try_start(3, 2, now));
}
