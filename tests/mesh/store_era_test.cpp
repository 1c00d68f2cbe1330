#include "mesh/member_history.h"
#include "mesh/rollout_history.h"
#include "mesh/row_replica.h"
#include "mesh/store_clock.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

member record(std::string const& instance, target_state state, std::int64_t started,
              store_revision revision) {
    member made;
    made.instance = instance;
    made.ip = "127.0.0." + instance;
    made.target.id = "target-" + std::to_string(started);
    made.target.state = state;
    made.target.started_ms = started;
    made.revision = revision;
    return made;
}

rollout order(std::string const& version, store_revision position) {
    rollout made;
    made.service = "deposits";
    made.to = version;
    made.duration = seconds(10);
    made.order = position;
    made.ordered_at = position;
    return made;
}

rollout progress(rollout made, rollout_phase phase, unsigned step) {
    made.phase = phase;
    made.step = step;
    made.from = "v1";
    made.started = seconds(100);
    return made;
}

} // namespace

TEST_GROUP(row_replica_eras){};

// Guards against rows of a restored store that are taken for old because its numbers went back.
TEST(row_replica_eras, later_era_goes_before_higher_number) {
    row_replica replica;
    CHECK(replica.apply({"op", "config", "new", {1, 32}, false}));
    CHECK(replica.apply({"op", "config", "copy", {2, 7}, false}));
    CHECK_FALSE(replica.apply({"op", "config", "late", {1, 33}, false}));
    STRCMP_EQUAL("copy", replica.find("op", "config")->value.c_str());
    UNSIGNED_LONGS_EQUAL(1, replica.rows_after("op", {1, 40}).size());
}

// Guards against a node that was cut off, and keeps rows that the store has lost beside those of
// the new era.
TEST(row_replica_eras, rows_that_the_copy_lacks_are_removed_with_the_new_era) {
    row_replica replica;
    replica.apply({"peridot", "member/a", "kept", {1, 5}, false});
    replica.apply({"peridot", "member/b", "lost", {1, 32}, false});
    replica.apply({"peridot", "member/a", "kept", {2, 5}, false});
    CHECK(replica.complete_table("peridot", {2, 7}));
    POINTERS_EQUAL(nullptr, replica.find("peridot", "member/b"));
    CHECK(replica.find("peridot", "member/a") != nullptr);
    UNSIGNED_LONGS_EQUAL(2, replica.era("peridot"));
    CHECK_FALSE(replica.complete_table("peridot", {1, 40}));
    UNSIGNED_LONGS_EQUAL(2, replica.era("peridot"));
}

TEST_GROUP(member_history) {
    member_history history;

    target_state state_of(std::vector<member> const& used, std::string const& instance) {
        for (auto const& entry : used) {
            if (entry.instance == instance) {
                return entry.target.state;
            }
        }
        FAIL("the instance has no record");
        return target_state::gone;
    }
};

// Guards against nodes without members for as long as these have not written their records again.
TEST(member_history, record_that_the_copy_lacks_stays_in_use) {
    history.update({record("1", target_state::ready, 10, {1, 5}),
                    record("2", target_state::ready, 20, {1, 32})},
                   1);
    auto used = history.update({record("1", target_state::ready, 10, {2, 5})}, 2);
    UNSIGNED_LONGS_EQUAL(2, used.size());
    CHECK(state_of(used, "2") == target_state::ready);
    used = history.update({record("1", target_state::ready, 10, {2, 5}),
                           record("2", target_state::draining, 20, {2, 9})},
                          2);
    CHECK(state_of(used, "2") == target_state::draining);
    // Within an era, a record that is removed is not used any more.
    UNSIGNED_LONGS_EQUAL(1,
                         history.update({record("1", target_state::ready, 10, {2, 5})}, 2).size());
}

// Guards against new requests for a target whose leaving was acknowledged in the lost seconds.
TEST(member_history, target_that_left_does_not_become_ready_again) {
    for (auto const left : {target_state::draining, target_state::gone}) {
        member_history left_history;
        left_history.update({record("1", left, 10, {1, 32})}, 1);
        auto const copy = record("1", target_state::ready, 10, {2, 5});
        CHECK(state_of(left_history.update({copy}, 2), "1") == left);
        CHECK(state_of(left_history.update({copy}, 2), "1") == left);
        auto const third = record("1", target_state::ready, 10, {3, 4});
        CHECK(state_of(left_history.update({third}, 3), "1") == left);
    }
}

// Guards against an earlier target of the copy in the place of its successor, and the reverse.
TEST(member_history, target_that_started_last_is_the_current_one) {
    history.update({record("1", target_state::ready, 20, {1, 32})}, 1);
    auto used = history.update({record("1", target_state::ready, 10, {2, 5})}, 2);
    STRCMP_EQUAL("target-20", used.front().target.id.c_str());
    used = history.update({record("1", target_state::ready, 30, {2, 9})}, 2);
    STRCMP_EQUAL("target-30", used.front().target.id.c_str());
}

// Guards against the record of an instance that had an address before the one that was lost.
TEST(member_history, lost_record_keeps_its_address) {
    auto before = record("1", target_state::ready, 10, {1, 5});
    auto after = record("2", target_state::ready, 20, {1, 32});
    after.ip = before.ip;
    history.update({before, after}, 1);
    before.revision = {2, 5};
    auto const owners = newest_by_address(history.update({before}, 2));
    UNSIGNED_LONGS_EQUAL(1, owners.size());
    STRCMP_EQUAL("2", owners.front().instance.c_str());
}

TEST_GROUP(rollout_history) {
    rollout_history history;

    rollout update(rollout const& ordered, std::optional<rollout> recorded, std::uint64_t era) {
        return this->history.update({{ordered, std::move(recorded)}}, era).at("deposits");
    }
};

// Guards against a version that is judged anew after it was taken back, and against a completion
// that is undone although the old targets have stopped.
TEST(rollout_history, end_of_a_roll_out_stays_when_the_store_loses_it) {
    for (auto const phase : {rollout_phase::rolled_back, rollout_phase::complete}) {
        rollout_history ended;
        auto const first = order("v2", {1, 30});
        ended.update({{first, progress(first, phase, 3)}}, 1);
        // The copy has neither the order nor the progress.
        CHECK(ended.update({}, 2).at("deposits").phase == phase);
        auto const again = order("v2", {2, 9});
        auto found = ended.update({{again, std::nullopt}}, 2).at("deposits");
        CHECK(found.phase == phase);
        CHECK(found.order == first.order);
        CHECK(found.ordered_at == again.ordered_at);
        // A node that did not know the order has begun it anew.
        auto const anew = progress(again, rollout_phase::running, 1);
        found = ended.update({{again, anew}}, 2).at("deposits");
        CHECK(found.phase == phase);
        CHECK(found.order == first.order);
    }
}

// Guards against the evidence of a roll-out in progress that is lost with its id.
TEST(rollout_history, roll_out_in_progress_keeps_its_step_and_its_identity) {
    auto const first = order("v2", {1, 5});
    update(first, progress(first, rollout_phase::running, 2), 1);
    auto const copied = order("v2", {2, 5});
    auto const found = update(copied, progress(first, rollout_phase::running, 1), 2);
    UNSIGNED_LONGS_EQUAL(2, found.step);
    CHECK(found.order == first.order);
}

// Guards against a completion that is overwritten, because the node that wrote it did not know yet
// where the order is in the new era.
TEST(rollout_history, progress_written_under_the_earlier_position_of_the_order_counts) {
    auto const first = order("v2", {1, 30});
    update(first, progress(first, rollout_phase::running, 3), 1);
    auto const again = order("v2", {2, 9});
    update(again, std::nullopt, 2);
    auto const found = update(again, progress(first, rollout_phase::complete, 3), 2);
    CHECK(found.phase == rollout_phase::complete);
    CHECK(found.ordered_at == again.ordered_at);
}

// Guards against a node that started after the restore and does not recognize the order.
TEST(rollout_history, restarted_node_knows_the_order_by_its_record) {
    auto const first = order("v2", {1, 30});
    auto recorded = progress(first, rollout_phase::rolled_back, 1);
    auto const again = order("v2", {2, 9});
    CHECK(update(again, recorded, 2).phase == rollout_phase::rolled_back);
    CHECK(update(again, recorded, 2).order == first.order);
}

// Guards against the order before the latest one, which the copy shows until the operator has
// written the latest one again.
TEST(rollout_history, earlier_order_of_the_copy_does_not_replace_the_latest) {
    auto const earlier = order("v2", {1, 5});
    auto const completed = progress(earlier, rollout_phase::complete, 3);
    update(earlier, completed, 1);
    auto const latest = order("v3", {1, 30});
    update(latest, completed, 1);
    update(latest, progress(latest, rollout_phase::rolled_back, 1), 1);
    auto found = update(order("v2", {2, 5}), completed, 2);
    STRCMP_EQUAL("v3", found.to.c_str());
    CHECK(found.phase == rollout_phase::rolled_back);
    found = update(order("v3", {2, 11}), completed, 2);
    CHECK(found.phase == rollout_phase::rolled_back);
}

// Guards against ended roll-outs that run again, because an operator writes everything again after
// the store came back, also what the copy had.
TEST(rollout_history, order_of_the_copy_that_is_written_again_is_the_same_once) {
    auto const first = order("v2", {1, 5});
    auto const ended = progress(first, rollout_phase::rolled_back, 1);
    update(first, ended, 1);
    auto const in_copy = update(order("v2", {2, 5}), ended, 2);
    CHECK(in_copy.phase == rollout_phase::rolled_back);
    auto const again = update(order("v2", {2, 33}), in_copy, 2);
    CHECK(again.phase == rollout_phase::rolled_back);
    CHECK(again.order == first.order);
    CHECK(update(order("v2", {2, 40}), again, 2).phase == rollout_phase::running);
}

// Guards against an ended roll-out that begins anew at a node that reads the progress of the new
// era before the new position of the order.
TEST(rollout_history, progress_may_be_read_before_the_position_of_its_order) {
    auto const first = order("v2", {1, 5});
    auto const ended = progress(first, rollout_phase::complete, 3);
    update(first, ended, 1);
    auto const copied = order("v2", {2, 5});
    update(copied, ended, 2);
    auto moved = ended;
    moved.ordered_at = {2, 33};
    CHECK(update(copied, moved, 2).phase == rollout_phase::complete);
    CHECK(update(order("v2", {2, 33}), moved, 2).phase == rollout_phase::complete);
}

// Guards against an order of the operator that is taken for an earlier one.
TEST(rollout_history, next_order_in_the_same_era_starts_anew) {
    auto const first = order("v2", {2, 9});
    update(first, progress(first, rollout_phase::rolled_back, 1), 2);
    auto const found =
        update(order("v2", {2, 12}), progress(first, rollout_phase::rolled_back, 1), 2);
    CHECK(found.phase == rollout_phase::running);
    CHECK(found.started == milliseconds(0));
    STRCMP_EQUAL("v1", found.from.c_str());
}

TEST_GROUP(store_clock){};

// Guards against a roll-out that stands still for as long as the store's clock went back.
TEST(store_clock, clock_that_went_back_is_followed_and_earlier_times_are_converted) {
    store_clock clock;
    CHECK_FALSE(clock.time(seconds(1)).has_value());
    clock.observe(1, seconds(100), seconds(10));
    clock.observe(1, seconds(100), seconds(11));
    LONGS_EQUAL(102'000, clock.time(seconds(12))->count());
    clock.observe(2, seconds(98), seconds(12));
    LONGS_EQUAL(99'000, clock.time(seconds(13))->count());
    LONGS_EQUAL(97'000, clock.convert(1, seconds(101)).count());
    LONGS_EQUAL(98'500, clock.convert(2, milliseconds(98'500)).count());
    // A late response of the earlier era does not set the clock.
    clock.observe(1, seconds(104), seconds(14));
    LONGS_EQUAL(100'000, clock.time(seconds(14))->count());
}

// Guards against a plan that moves with each new era although the clock is the same.
TEST(store_clock, delays_of_responses_are_no_step_of_the_clock) {
    store_clock clock;
    clock.observe(1, seconds(100), seconds(10));
    clock.observe(2, seconds(102), seconds(12) + milliseconds(80));
    LONGS_EQUAL(101'000, clock.convert(1, seconds(101)).count());
    LONGS_EQUAL(7, clock.convert(9, milliseconds(7)).count());
}
