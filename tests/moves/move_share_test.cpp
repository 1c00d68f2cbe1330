#include "moves/move_share.h"

#include "example_plan.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace peridot;

namespace {

constexpr version_capacity equal_capacity = {36, 36};

move_state at_gate(std::uint32_t gate) {
    move_state state;
    state.move = example_plan().id;
    state.gate = gate;
    return state;
}

} // namespace

TEST_GROUP(move_share){};

// Guards against a session that is assigned to the old version again while the share increases.
TEST(move_share, keys_stay_on_the_new_version_while_the_share_rises) {
    for (int key = 0; key < 2000; ++key) {
        auto const name = "session-" + std::to_string(key);
        bool was_new = false;
        for (double share : {0.0, 0.01, 0.05, 0.2, 0.35, 0.5, 0.99, 1.0}) {
            bool const is_new = choose_side("move", name, share) == target_side::new_version;
            CHECK_FALSE(was_new && !is_new);
            was_new = is_new;
        }
        CHECK_TRUE(was_new);
    }
}

// Guards against a hash that selects more or fewer keys than the share, or the same keys for every
// move.
TEST(move_share, fraction_of_keys_matches_the_share) {
    int chosen = 0;
    int in_both = 0;
    for (int key = 0; key < 20'000; ++key) {
        auto const name = std::to_string(key);
        bool const first = choose_side("a", name, 0.05) == target_side::new_version;
        bool const second = choose_side("b", name, 0.05) == target_side::new_version;
        chosen += first ? 1 : 0;
        in_both += first && second ? 1 : 0;
    }
    // The expected number is 1,000 with a standard deviation of 31, and 50 for both moves.
    CHECK_TRUE(chosen > 850 && chosen < 1150);
    CHECK_TRUE(in_both < 120);
}

// Guards against a share that is raised by the time alone or by the gate alone.
TEST(move_share, steps_require_both_time_and_gate) {
    auto const plan = example_plan();
    auto const share = [&](std::uint32_t gate, wall_time now) {
        return share_at(plan, at_gate(gate), equal_capacity, now);
    };
    CHECK_EQUAL(0.0, share(4, plan.start - seconds(1)));
    CHECK_EQUAL(0.01, share(4, plan.start));
    CHECK_EQUAL(0.01, share(0, plan.done_by));
    CHECK_EQUAL(0.2, share(2, plan.done_by));
    CHECK_EQUAL(1.0, share(4, plan.done_by));
}

// Guards against traffic to a version that was taken back, regardless of the gate.
TEST(move_share, take_back_sets_the_share_to_zero) {
    auto const plan = example_plan();
    auto state = at_gate(4);
    state.latch = take_back{};
    CHECK_EQUAL(0.0, share_at(plan, state, equal_capacity, plan.done_by));
    CHECK_TRUE(move_phase::taken_back == phase_at(plan, state, plan.done_by));
}

// Guards against a gate that a judge raises concurrently and that overrides an operator's pause.
TEST(move_share, pause_holds_the_step) {
    auto const plan = example_plan();
    auto state = at_gate(3);
    state.pause = {7, true, 1};
    CHECK_EQUAL(0.05, share_at(plan, state, equal_capacity, plan.done_by));
    state.pause = {8, false, 1};
    CHECK_EQUAL(0.5, share_at(plan, state, equal_capacity, plan.done_by));
}

// Guards against a new version that receives all requests with too few endpoints.
TEST(move_share, new_version_capacity_limits_the_share) {
    auto const plan = example_plan();
    auto const share = [&](version_capacity capacity) {
        return share_at(plan, at_gate(4), capacity, plan.done_by);
    };
    CHECK_EQUAL(0.25, share({48, 12}));
    CHECK_EQUAL(0.0, share({36, 0}));
    CHECK_EQUAL(1.0, share({0, 12}));
}
