#include "mesh/evacuation_history.h"
#include "mesh/warm_up.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

constexpr double cold_rate = 13;
boot_time const start{std::chrono::hours(1)};

} // namespace

TEST_GROUP(warm_up){};

// Guards against a cold target that is limited for longer than it states, or not at all.
TEST(warm_up, limit_holds_for_the_announced_time) {
    warm_up target;
    target.set_cold_rate(cold_rate);
    CHECK_FALSE(target.rate_limit(start).has_value());
    target.observe(milliseconds(2500), start);
    CHECK(target.rate_limit(start + milliseconds(2499)) == cold_rate);
    CHECK_FALSE(target.rate_limit(start + milliseconds(2500)).has_value());
}

// Guards against the full load on a target that was restarted between two announcements.
TEST(warm_up, possible_restart_limits_until_the_next_announcement) {
    warm_up target;
    target.set_cold_rate(cold_rate);
    target.presume_cold();
    CHECK(target.rate_limit(start + seconds(60)) == cold_rate);
    target.observe(milliseconds(0), start + seconds(60));
    CHECK_FALSE(target.rate_limit(start + seconds(60)).has_value());
}

// Guards against limits in a deployment that does not limit cold targets.
TEST(warm_up, service_without_a_cold_rate_has_no_limit) {
    warm_up target;
    target.presume_cold();
    target.observe(seconds(5), start);
    CHECK_FALSE(target.rate_limit(start).has_value());
}

TEST_GROUP(evacuation_history){};

// Guards against an evacuation that goes on after its row was removed, or ends before that.
TEST(evacuation_history, follows_the_rows) {
    evacuation_history history;
    CHECK(history.update({"a", "b"}, 1).size() == 2);
    CHECK(history.update({"b"}, 1).contains("b"));
    CHECK(history.update({}, 1).empty());
}

// Guards against requests to an evacuated zone because the store came back from a copy without its
// row.
TEST(evacuation_history, survives_a_copy_that_lacks_it) {
    evacuation_history history;
    history.update({"a"}, 1);
    CHECK(history.update({}, 2).contains("a"));
    CHECK(history.update({"a"}, 2).contains("a"));
    CHECK(history.update({}, 2).empty());
}
