#include "mesh/link_schedule.h"

#include "link_simulation.h"
#include "mesh/link_request.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

boot_time const begin{std::chrono::hours(1)};
constexpr std::uint64_t large_bytes = 90'000;
constexpr double offered_megabits = 142;
constexpr seconds duration{20};

double fraction(std::int64_t part, std::int64_t whole) {
    return static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

TEST_GROUP(link_schedule) {
    link_schedule schedule{14};
};

// Guards against late responses of all kinds: six links of 14 Mbit/s are offered 142 Mbit/s of
// large responses beside small ones. 0.59 of the large ones fit; packet headers take a part of
// that.
TEST(link_schedule, overloaded_links_deliver_what_fits_and_all_small_responses) {
    link_simulation simulation(link_simulation::link_megabits);
    simulation.run(offered_megabits, duration);
    auto const& large = simulation.large();
    CHECK(fraction(large.in_time, large.offered) >= 0.55);
    CHECK(fraction(large.late, large.offered) <= 0.01);
    LONGS_EQUAL(large.offered, large.in_time + large.late + large.refused);
    LONGS_EQUAL(0, large.refused_without_time);
    auto const& small = simulation.small();
    LONGS_EQUAL(small.offered, small.in_time);
}

// Guards against requests that are late in any case and take the link from those that are in time:
// callers return after refusals, and their requests would fill the link's queue up to the deadline.
TEST(link_schedule, returned_requests_do_not_make_others_late) {
    link_simulation simulation(link_simulation::link_megabits);
    simulation.run(2 * offered_megabits, duration, 0.5);
    auto const& large = simulation.large();
    CHECK(fraction(large.in_time, large.offered) >= 0.5);
    CHECK(fraction(large.late, large.offered) <= 0.01);
    LONGS_EQUAL(0, simulation.returned().late);
    LONGS_EQUAL(simulation.small().offered, simulation.small().in_time);
}

// Guards against requests that are refused although they can be answered by their deadline and the
// link has room.
TEST(link_schedule, returned_requests_are_served_while_the_link_has_room) {
    link_simulation simulation(link_simulation::link_megabits);
    simulation.run(60, duration, 0.2);
    LONGS_EQUAL(simulation.large().offered, simulation.large().in_time);
    LONGS_EQUAL(simulation.returned().offered, simulation.returned().in_time);
}

// Shows that the load of the first test needs the schedule.
TEST(link_schedule, same_load_without_known_rate_is_late) {
    link_simulation simulation(std::nullopt);
    simulation.run(offered_megabits, duration);
    CHECK(fraction(simulation.large().in_time, simulation.large().offered) < 0.2);
    CHECK(fraction(simulation.small().in_time, simulation.small().offered) < 0.2);
}

// Guards against refusals on links that are slow but sufficient.
TEST(link_schedule, nothing_is_refused_or_late_at_six_tenths_of_the_rate) {
    link_simulation simulation(link_simulation::link_megabits);
    simulation.run(50, duration);
    LONGS_EQUAL(simulation.large().offered, simulation.large().in_time);
    LONGS_EQUAL(simulation.small().offered, simulation.small().in_time);
}

// Guards against changes for deployments with wide links or without a known rate.
TEST(link_schedule, wide_and_unknown_links_change_nothing) {
    for (auto const rate : {std::optional<double>(200), std::optional<double>()}) {
        link_schedule wide(rate);
        wide.record_size("large", large_bytes);
        CHECK(!wide.is_large(large_bytes));
        for (std::uint64_t id = 1; id <= 1000; ++id) {
            wide.start(id, large_bytes, begin);
            CHECK(wide.add_response(id, large_bytes, begin));
        }
        CHECK(!wide.find_refusal({"large", begin, begin, begin}, begin));
        CHECK(!wide.next_response());
    }
}

// Guards against a route that is never measured again: its expected size would forbid every request
// although the link is free.
TEST(link_schedule, free_link_refuses_nothing) {
    schedule.record_size("large", 100 * large_bytes);
    CHECK(!schedule.find_refusal(
        {"large", begin, begin + milliseconds(10), begin + milliseconds(10)}, begin));
    schedule.start(1, large_bytes, begin);
    CHECK(schedule
              .find_refusal({"large", begin, begin + milliseconds(10), begin + milliseconds(10)},
                            begin)
              .has_value());
}

// Guards against a retry that is too early to be admitted.
TEST(link_schedule, request_is_admitted_after_the_time_that_its_refusal_states) {
    schedule.record_size("large", large_bytes);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        schedule.add_response(id, large_bytes, begin);
    }
    auto const limit = milliseconds(500);
    auto const refused =
        schedule.find_refusal({"large", begin, begin + limit, begin + limit}, begin);
    CHECK(refused.has_value());
    auto const retry = begin + refused->retry_after + milliseconds(1);
    while (schedule.next_response() && schedule.next_write_time() <= retry) {
        schedule.try_write(*schedule.next_response(), schedule.next_write_time());
    }
    CHECK(!schedule.find_refusal({"large", retry, retry + limit, retry + limit}, retry));
}

// Guards against several large responses in the socket buffers, behind which a small one would
// wait.
TEST(link_schedule, large_responses_are_written_one_after_the_other) {
    CHECK(schedule.add_response(1, large_bytes, begin));
    CHECK(!schedule.add_response(2, large_bytes, begin));
    CHECK(schedule.add_response(3, 600, begin));
    CHECK(!schedule.try_write(2, begin + milliseconds(10)));
    CHECK(schedule.try_write(2, begin + milliseconds(60)));
}

// Guards against a link that is idle behind a response whose caller has left.
TEST(link_schedule, ended_request_does_not_occupy_the_link) {
    schedule.record_size("large", large_bytes);
    schedule.start(1, large_bytes, begin);
    CHECK(schedule.add_response(2, large_bytes, begin));
    CHECK(!schedule.add_response(3, large_bytes, begin));
    CHECK(!schedule.add_response(4, large_bytes, begin));
    auto const before = schedule.expected_wait(large_bytes, begin, begin);
    schedule.finish(1);
    schedule.finish(3);
    LONGS_EQUAL(4, *schedule.next_response());
    CHECK(schedule.expected_wait(large_bytes, begin, begin) + milliseconds(100) <= before);
}
