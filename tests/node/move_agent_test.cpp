#include "moving_fleet.h"

#include "node/judge_choice.h"
#include "node/move_recording.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace peridot;
using namespace peridot::simulation;

namespace {

take_back latch_at(moving_fleet const& fleet) {
    take_back latch;
    latch.at_since_epoch = std::chrono::duration_cast<milliseconds>(fleet.clock.time_since_epoch());
    latch.setter = "node-9";
    latch.new_calls = 10;
    latch.new_events = 5;
    return latch;
}

move_state state_of(moving_fleet const& fleet, std::uint32_t gate) {
    move_state state;
    state.move = fleet.declared.plan.id;
    state.gate = gate;
    return state;
}

// Calls of both versions on every node in proportion to the share, for some seconds.
void run_with_calls(moving_fleet& fleet, int rounds, double failure_ratio) {
    constexpr int calls = 100;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
            int const new_calls = static_cast<int>(calls * fleet.share(index));
            fleet.count_calls(index, target_side::old_version, calls - new_calls, 0);
            fleet.count_calls(index, target_side::new_version, new_calls,
                              static_cast<int>(new_calls * failure_ratio));
        }
        fleet.run(milliseconds(1000));
    }
}

} // namespace

TEST_GROUP(move_agent){};

// Guards against a move that does not follow its ramp, or that ends before its watch time.
TEST(move_agent, a_good_move_completes_in_time_and_is_over_after_its_watch_time) {
    moving_fleet fleet(6);
    fleet.accept_everywhere();
    fleet.run(seconds(9));
    DOUBLES_EQUAL(0, fleet.share(0), 0);
    fleet.run(seconds(2));
    for (std::size_t index = 0; index < 6; ++index) {
        DOUBLES_EQUAL(0.01, fleet.share(index), 0);
    }
    run_with_calls(fleet, 98, 0);
    for (std::size_t index = 0; index < 6; ++index) {
        DOUBLES_EQUAL(1, fleet.share(index), 0);
        CHECK_FALSE(fleet.move(index).over_since.has_value());
    }
    fleet.run(seconds(22));
    CHECK_TRUE(fleet.move(0).over_since.has_value());
    auto const finish = make_finish(fleet.move(0), "node-0");
    STRCMP_EQUAL("v2", finish.target_version.c_str());
}

// Guards against a bad version that keeps its share on some node after the judges decided.
TEST(move_agent, a_bad_version_is_taken_back_on_every_node) {
    moving_fleet fleet(6);
    fleet.accept_everywhere();
    fleet.run(seconds(11));
    run_with_calls(fleet, 40, 0.5);
    for (std::size_t index = 0; index < 6; ++index) {
        CHECK_TRUE(fleet.move(index).state.latch.has_value());
        DOUBLES_EQUAL(0, fleet.share(index), 0);
        auto const entries = fleet.nodes[index]->decisions.find_by_subject("moves/deposits-1");
        CHECK_TRUE(std::any_of(entries.begin(), entries.end(), [](decision const& entry) {
            return entry.kind == "move_taken_back" && !entry.figures.empty();
        }));
    }
    STRCMP_EQUAL("v1", make_finish(fleet.move(0), "node-0").target_version.c_str());
}

// Guards against calls to a version after its take-back while the plan says 100 %: the share is
// zero before the next tick.
TEST(move_agent, a_latch_closes_a_version_at_once_though_the_plan_says_all) {
    moving_fleet fleet(4);
    fleet.accept_everywhere();
    auto state = state_of(fleet, 4);
    fleet.run(seconds(1));
    fleet.give_state(0, state);
    fleet.run(seconds(95));
    DOUBLES_EQUAL(1, fleet.share(0), 0);
    state.latch = latch_at(fleet);
    fleet.give_state(0, state);
    DOUBLES_EQUAL(0, fleet.share(0), 0);
    fleet.run(seconds(1));
    DOUBLES_EQUAL(0, fleet.share(0), 0);
    DOUBLES_EQUAL(0, fleet.share(2), 0);
}

// Guards against late and repeated datagrams from before a take-back that open the version again.
TEST(move_agent, late_and_repeated_states_do_not_undo_a_latch) {
    moving_fleet fleet(4);
    fleet.accept_everywhere();
    fleet.run(seconds(50));
    auto latched = state_of(fleet, 2);
    latched.latch = latch_at(fleet);
    fleet.give_state(0, latched);
    for (std::uint32_t gate = 0; gate < 5; ++gate) {
        fleet.give_state(0, state_of(fleet, gate));
        fleet.give_state(0, state_of(fleet, 4 - gate));
        fleet.run(milliseconds(200));
        DOUBLES_EQUAL(0, fleet.share(0), 0);
    }
    CHECK_TRUE(fleet.move(0).state.latch == latched.latch);
}

// Guards against an older version of the declaration, without its pause, that lets a move go on,
// and against a pause that holds a move after its resume.
TEST(move_agent, a_pause_holds_the_step_until_a_later_version_resumes) {
    moving_fleet fleet(4);
    fleet.accept_everywhere();
    fleet.run(seconds(11));
    fleet.declared.pause = move_pause{0, true, 0};
    fleet.accept({0});
    fleet.run(seconds(1));
    // The others hold the earlier version and learn of the pause by gossip.
    for (std::size_t index = 0; index < 3; ++index) {
        fleet.give_state(index, state_of(fleet, 4));
    }
    fleet.run(seconds(80));
    for (std::size_t index = 0; index < 3; ++index) {
        DOUBLES_EQUAL(0.01, fleet.share(index), 0);
    }
    fleet.declared.pause = move_pause{0, false, 0};
    fleet.accept({1});
    fleet.run(seconds(1));
    for (std::size_t index = 0; index < 3; ++index) {
        DOUBLES_EQUAL(1, fleet.share(index), 0);
    }
}

// Guards against a resume that an operator sends while another takes the move back.
TEST(move_agent, a_resume_that_crosses_a_take_back_loses) {
    moving_fleet fleet(4);
    fleet.declared.pause = move_pause{0, true, 1};
    fleet.accept_everywhere();
    fleet.run(seconds(60));
    fleet.declared.taken_back_at =
        std::chrono::duration_cast<milliseconds>(fleet.clock.time_since_epoch());
    fleet.accept({0});
    fleet.declared.taken_back_at.reset();
    fleet.declared.pause = move_pause{0, false, 1};
    fleet.accept({1, 2});
    fleet.run(seconds(2));
    fleet.accept_everywhere();
    fleet.run(seconds(2));
    for (std::size_t index = 0; index < 3; ++index) {
        CHECK_TRUE(fleet.move(index).state.latch.has_value());
        DOUBLES_EQUAL(0, fleet.share(index), 0);
    }
}

// Guards against evidence of a replaced node that counts twice or is lost, and against a node that
// changes its incarnation and reports the same calls again.
TEST(move_agent, evidence_of_a_replaced_node_counts_once) {
    moving_fleet fleet(4);
    fleet.accept_everywhere();
    fleet.run(seconds(1));
    auto const total = [&] {
        return pooled(fleet.move(0).judgement->aggregator.totals()).old_version.calls;
    };
    fleet.count_calls(1, target_side::old_version, 100, 0);
    fleet.run(seconds(2));
    CHECK_EQUAL(100U, total());
    fleet.replace(1);
    fleet.run(seconds(1));
    fleet.count_calls(1, target_side::old_version, 50, 0);
    fleet.run(seconds(2));
    CHECK_EQUAL(150U, total());
    fleet.nodes[1]->incarnation += 1;
    fleet.run(seconds(2));
    CHECK_EQUAL(150U, total());
    fleet.count_calls(1, target_side::old_version, 200, 0);
    fleet.run(seconds(2));
    CHECK_EQUAL(350U, total());
}

// Guards against a node that starts during a move, and sends calls to a version that the others
// took back, before it hears of that.
TEST(move_agent, a_restarted_node_keeps_the_version_closed_until_it_hears_a_state) {
    moving_fleet fleet(4);
    fleet.accept_everywhere();
    fleet.run(seconds(20));
    auto latched = state_of(fleet, 0);
    latched.latch = latch_at(fleet);
    fleet.give_state(0, latched);
    fleet.run(seconds(2));
    fleet.replace(1);
    fleet.run(seconds(2));
    DOUBLES_EQUAL(0, fleet.share(1), 0);
    fleet.give_state(1, latched);
    fleet.run(seconds(5));
    DOUBLES_EQUAL(0, fleet.share(1), 0);
}

// Guards against judges that all fail with one availability zone, and against a move that several
// nodes record at the same time.
TEST(move_agent, judges_are_in_different_zones_and_take_turns_to_record) {
    moving_fleet fleet(9);
    fleet.accept_everywhere();
    fleet.run(seconds(1));
    auto const& judges = fleet.move(0).judges;
    CHECK_EQUAL(judge_count, judges.size());
    std::set<char> zones;
    std::set<milliseconds> delays;
    for (auto const& judge : judges) {
        zones.insert(static_cast<char>((judge.back() - '0') % 3));
        delays.insert(*recording_delay(fleet.move(0), judge));
    }
    CHECK_EQUAL(judge_count, zones.size());
    CHECK_EQUAL(judge_count, delays.size());
    CHECK_FALSE(recording_delay(fleet.move(0), "no-judge").has_value());
}
