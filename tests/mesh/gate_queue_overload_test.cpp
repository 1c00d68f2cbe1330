#include "mesh/gate_queue.h"

#include "arrival_stream.h"
#include "overload_simulation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>

using namespace peridot;

namespace {

constexpr seconds duration{12};

// Requests of a route that alone brings the given multiple of what the target can run.
arrival_stream frequent_stream(int overload) {
    arrival_stream stream;
    stream.route = "frequent";
    auto const capacity_gap = stream.work / overload_simulation::slots;
    stream.gap = std::max(milliseconds(1), capacity_gap / overload);
    return stream;
}

double share_of_slot_time(arrival_stream const& stream) {
    milliseconds const available = overload_simulation::slots * duration;
    return static_cast<double>(stream.offered * stream.work.count()) /
           static_cast<double>(available.count());
}

// Checks that a route with few requests is served beside a frequent one at 2, 5 and 10 times the
// capacity and at each priority, and that the frequent route loses no more than the slot time that
// the other one needs.
void check_served_beside_frequent_route(arrival_stream const& rare) {
    constexpr double min_served_share = 0.8;
    constexpr double tolerance = 0.03;
    for (int const overload : {2, 5, 10}) {
        auto alone = frequent_stream(overload);
        overload_simulation({&alone}).run(duration);
        for (unsigned const priority : {0U, 2U, 5U, 9U}) {
            auto frequent = frequent_stream(overload);
            auto few = rare;
            few.priority = priority;
            overload_simulation({&frequent, &few}).run(duration);
            auto const served_share =
                static_cast<double>(few.answered) / static_cast<double>(few.offered);
            CHECK_TEXT(served_share >= min_served_share, "the rare route was starved");
            double const kept_share = 1 - share_of_slot_time(few) - tolerance;
            CHECK_TEXT(static_cast<double>(frequent.answered) >=
                           static_cast<double>(alone.answered) * kept_share,
                       "the frequent route lost answers");
            CHECK_TEXT(static_cast<double>(frequent.in_time) >=
                           static_cast<double>(alone.in_time) * kept_share,
                       "answers of the frequent route became late");
        }
    }
}

} // namespace

TEST_GROUP(gate_queue_overload){};

// Guards against a route that was added and is not served while a frequent route of the same
// service overloads the target: the requests of the frequent one lose their value earlier.
TEST(gate_queue_overload, added_route_is_served_beside_a_frequent_route) {
    arrival_stream added;
    added.route = "added";
    added.gap = milliseconds(250);
    added.work = milliseconds(90);
    added.target_latency = milliseconds(920);
    added.deadline = milliseconds(920);
    check_served_beside_frequent_route(added);
}

// Guards against a starved route whose requests take longer than those of the frequent route: they
// count as late before they are the most urgent ones.
TEST(gate_queue_overload, slow_route_is_served_beside_a_frequent_route) {
    arrival_stream slow;
    slow.route = "slow";
    slow.gap = milliseconds(2000);
    slow.work = milliseconds(700);
    slow.target_latency = milliseconds(2500);
    slow.deadline = milliseconds(6000);
    check_served_beside_frequent_route(slow);
}

// Guards against a starved route that cannot meet its target latency and always counts as late.
TEST(gate_queue_overload, late_route_is_served_beside_a_frequent_route) {
    arrival_stream late;
    late.route = "late";
    late.gap = milliseconds(500);
    late.target_latency = milliseconds(100);
    late.deadline = milliseconds(1000);
    check_served_beside_frequent_route(late);
}

// Guards against a reserved share that is spent on requests which always outlast their deadline.
TEST(gate_queue_overload, route_that_outlasts_its_deadline_takes_next_to_nothing) {
    arrival_stream endless;
    endless.route = "endless";
    endless.gap = milliseconds(500);
    endless.work = seconds(10);
    endless.target_latency = milliseconds(1000);
    endless.deadline = milliseconds(1100);
    auto frequent = frequent_stream(5);
    overload_simulation simulation({&frequent, &endless});
    // Until the first requests of the route have ended, nothing is known about it.
    simulation.run(seconds(3));
    auto const started = endless.started;
    constexpr seconds measured{30};
    simulation.run(measured);
    constexpr double max_share = 0.02;
    milliseconds const available = overload_simulation::slots * measured;
    milliseconds const used = (endless.started - started) * endless.deadline;
    CHECK(static_cast<double>(used.count()) <= max_share * static_cast<double>(available.count()));
    CHECK_TEXT(endless.started > started, "the route was not tried again");
}

// Guards against a route that stays starved after its target was slow: with the service time of
// that time, its requests seem unlikely to be answered, and it would never be measured again.
TEST(gate_queue_overload, overestimated_route_is_served_again_under_overload) {
    arrival_stream few;
    few.route = "few";
    few.gap = milliseconds(250);
    few.work = milliseconds(1000);
    few.target_latency = milliseconds(1100);
    few.deadline = milliseconds(1100);
    auto frequent = frequent_stream(5);
    auto const overload_gap = frequent.gap;
    frequent.gap = milliseconds(100);
    overload_simulation simulation({&frequent, &few});
    simulation.run(seconds(5));
    CHECK(few.answered > 0);
    frequent.gap = overload_gap;
    few.work = milliseconds(50);
    simulation.run(seconds(60));
    auto const offered = few.offered;
    auto const answered = few.answered;
    simulation.run(duration);
    CHECK(few.answered - answered >= (few.offered - offered) * 3 / 4);
}

// Guards against a reserve that takes more than its share from the frequent route: a route that
// brings half of the capacity, with the lowest priority, gets the reserve and no more.
TEST(gate_queue_overload, reserve_bounds_what_a_less_urgent_route_takes) {
    arrival_stream background;
    background.route = "background";
    background.priority = 9;
    background.gap = milliseconds(17);
    background.work = milliseconds(100);
    background.target_latency = milliseconds(2000);
    background.deadline = milliseconds(5000);
    auto frequent = frequent_stream(5);
    auto alone = frequent;
    overload_simulation({&alone}).run(duration);
    overload_simulation({&frequent, &background}).run(duration);
    constexpr double reserve = 0.125;
    constexpr double tolerance = 0.03;
    auto const kept = static_cast<double>(frequent.answered) / static_cast<double>(alone.answered);
    CHECK(kept >= 1 - reserve - tolerance);
    CHECK(background.answered >= background.offered / 5);
}

// Guards against a queue that is filled by a frequent route and refuses the requests of all others
// until one of its places becomes free.
TEST(gate_queue_overload, full_queue_takes_requests_of_a_rare_route) {
    boot_time const begin{std::chrono::hours(1)};
    gate_queue queue;
    queue.set_slots(1);
    std::uint64_t last_id = 0;
    auto const offer = [&](std::string const& route) {
        auto const deadline = begin + std::chrono::hours(1);
        return queue.offer({++last_id, route, 2, deadline, deadline, deadline}, begin);
    };
    offer("frequent");
    queue.finish(last_id, gate_queue::outcome::succeeded, begin + milliseconds(1));
    for (int count = 0; count < 1000; ++count) {
        offer("frequent");
    }
    CHECK(std::holds_alternative<gate_refusal>(offer("frequent")));
    auto const waiting = queue.load("frequent", begin).waiting;
    CHECK(std::holds_alternative<gate_wait>(offer("rare")));
    // The bound holds for any number of routes.
    for (int count = 0; count < 1000; ++count) {
        offer("rare-" + std::to_string(count));
    }
    CHECK(queue.load("rare", begin).waiting <= waiting + waiting / 8);
}
