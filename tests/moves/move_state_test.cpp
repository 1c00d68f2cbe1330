#include "moves/move_state.h"

#include "core/random_source.h"
#include "mutation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace peridot;

namespace {

move_state random_state(random_source& random) {
    move_state state;
    state.move = "payouts-2026-12-04-a";
    state.gate = static_cast<std::uint32_t>(random() % 5);
    if (random() % 3 == 0) {
        take_back latch;
        latch.reason = static_cast<take_back_reason>(1 + random() % 5);
        latch.at_since_epoch = milliseconds(1'800'000'000'000 + random() % 3);
        latch.setter = random() % 2 == 0 ? "node-a" : "node-b";
        latch.new_calls = 100 + random() % 2;
        latch.new_events = random() % 3;
        state.latch = latch;
    }
    state.pause = {random() % 3, random() % 2 == 0, static_cast<std::uint32_t>(random() % 2)};
    return state;
}

move_state merged(move_state left, move_state const& right) {
    merge(left, right);
    return left;
}

move_state largest_state() {
    move_state state;
    state.move = std::string(32, 'm');
    state.gate = 15;
    state.latch = take_back{milliseconds(1'800'000'000'000),
                            std::string(take_back::maximum_setter_length, 's'),
                            take_back_reason::slow_against_baseline,
                            route_fingerprint("POST /refunds"),
                            12'000'000,
                            60'000,
                            12'000'000,
                            600'000};
    state.pause = {1'000'000, true, 3};
    return state;
}

} // namespace

TEST_GROUP(move_state){};

// Guards against nodes that diverge permanently after receiving the same states in different
// orders.
TEST(move_state, merging_is_commutative_associative_and_idempotent) {
    random_source random(7);
    for (int round = 0; round < 2000; ++round) {
        auto const a = random_state(random);
        auto const b = random_state(random);
        auto const c = random_state(random);
        CHECK_TRUE(merged(a, b) == merged(b, a));
        CHECK_TRUE(merged(merged(a, b), c) == merged(a, merged(b, c)));
        CHECK_TRUE(merged(a, a) == a);
    }
}

// Guards against late, duplicate or reordered copies that revert a take-back or lower a gate.
TEST(move_state, merge_order_never_undoes_a_take_back_or_a_gate) {
    random_source random(11);
    for (int round = 0; round < 200; ++round) {
        std::vector<move_state> states;
        for (int index = 0; index < 20; ++index) {
            states.push_back(random_state(random));
        }
        states.insert(states.end(), states.begin(), states.begin() + 10);
        std::shuffle(states.begin(), states.end(), random);
        auto held = states.front();
        for (auto const& state : states) {
            auto const before = held;
            merge(held, state);
            CHECK_TRUE(held.gate >= before.gate);
            CHECK_TRUE(held.latch || !before.latch);
            CHECK_TRUE(held.pause.revision >= before.pause.revision);
        }
    }
}

// Guards against a gate that is raised by the state of another move.
TEST(move_state, states_of_other_moves_are_ignored) {
    auto state = largest_state();
    state.gate = 0;
    auto other = state;
    other.move = "other";
    other.gate = 3;
    CHECK_TRUE(merged(state, other) == state);
}

// Guards against states that are too large to attach to a membership message, and against lost
// fields.
TEST(move_state, encoding_is_compact_and_lossless) {
    auto const state = largest_state();
    auto const bytes = encode(state);
    CHECK_TRUE(bytes.size() <= move_state::maximum_encoded_size);
    auto const decoded = decode_move_state(bytes);
    CHECK_TRUE(is_ok(decoded));
    CHECK_TRUE(value(decoded) == state);
    move_state usual;
    usual.move = "payouts-2026-12-04-a";
    CHECK_TRUE(encode(usual).size() < 50);
}

// Guards against corrupted bytes that are decoded as a different gate or as a take-back.
TEST(move_state, mutated_bytes_are_refused) {
    check_mutations_refused(encode(largest_state()),
                            [](std::string_view bytes) { return is_ok(decode_move_state(bytes)); });
}

// Guards against accepting values out of range from a faulty sender, whose checksums are valid.
TEST(move_state, values_out_of_range_are_refused) {
    auto state = largest_state();
    state.gate = 16;
    CHECK_FALSE(is_ok(decode_move_state(encode(state))));
    state = largest_state();
    state.latch->reason = static_cast<take_back_reason>(9);
    CHECK_FALSE(is_ok(decode_move_state(encode(state))));
    state = largest_state();
    state.latch->new_events = state.latch->new_calls + 1;
    CHECK_FALSE(is_ok(decode_move_state(encode(state))));
}
