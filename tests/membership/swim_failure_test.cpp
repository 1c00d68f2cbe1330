#include "membership/simulated_fleet.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace std::chrono_literals;
using namespace peridot;
using peridot::simulation::make_record;
using peridot::simulation::simulated_fleet;

namespace {

// Prints a measured time, so that the margin to its bound is visible.
void report(char const* what, std::optional<milliseconds> taken) {
    std::printf("\n%s: %lld ms", what, taken ? static_cast<long long>(taken->count()) : -1LL);
}

} // namespace

TEST_GROUP(swim_failure){};

// Guards against datagram loss that causes a running member to be declared dead, and against
// datagrams that exceed the size limit under load.
TEST(swim_failure, ten_percent_datagram_loss_causes_no_false_death) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        simulated_fleet fleet(seed);
        fleet.add_synchronized_members(64);
        fleet.set_loss(0.1);
        fleet.run(10min);
        CHECK_EQUAL(0U, fleet.false_deaths());
        CHECK(fleet.largest_datagram() < 1200);
    }
}

// Guards against deaths that part of the fleet does not detect. The bound is the longest suspicion
// of 61 members without confirmation (32.2 s) plus a probe round.
TEST(swim_failure, killed_members_are_detected_by_all) {
    simulated_fleet fleet(4);
    fleet.add_synchronized_members(64);
    fleet.run(5s);
    for (std::size_t member : {7U, 20U, 63U}) {
        fleet.kill(member);
    }
    auto const taken = fleet.run_until(
        [&] {
            return fleet.all_observe(7, liveness::dead) && fleet.all_observe(20, liveness::dead) &&
                   fleet.all_observe(63, liveness::dead);
        },
        40s);
    report("3 of 64 killed, detected by all after", taken);
    CHECK(taken.has_value());
    CHECK_EQUAL(0U, fleet.false_deaths());
    CHECK_EQUAL(61U, fleet.at(0).present().size());
}

// Guards against a member that remains dead in other tables after it was frozen and resumed.
TEST(swim_failure, a_frozen_and_resumed_member_refutes) {
    simulated_fleet fleet(5);
    fleet.add_synchronized_members(24);
    fleet.run(3s);
    fleet.freeze(3);
    CHECK(fleet.run_until([&] { return fleet.all_observe(3, liveness::dead); }, 60s).has_value());
    auto const before = fleet.at(3).own().sequence;
    fleet.thaw(3);
    auto const taken = fleet.run_until(
        [&] { return fleet.all_observe(3, liveness::alive) && fleet.is_converged(); }, 20s);
    report("resumed member alive in all tables after", taken);
    CHECK(taken.has_value());
    CHECK(fleet.at(3).own().sequence > before);
    CHECK_EQUAL(1U, fleet.at(3).counters().freezes);
}

// Guards against a resumed process that mistakes its own freeze for failures of other members.
TEST(swim_failure, a_resumed_member_declares_no_member_dead) {
    for (int pause_ms : {900, 1500, 40'000}) {
        simulated_fleet fleet(6);
        fleet.add_synchronized_members(16);
        fleet.run(2s);
        // One real death ensures that a suspicion is pending when the freeze begins.
        fleet.kill(15);
        fleet.run(3s);
        fleet.freeze(0);
        fleet.run(milliseconds(pause_ms));
        fleet.thaw(0);
        CHECK_EQUAL(0U, fleet.at(0).counters().deaths);
        fleet.run(30s);
        CHECK_EQUAL(0U, fleet.false_deaths());
    }
}

// Guards against an instance that cannot rejoin during a platform outage: its row is not written,
// and other members hold a record of its former incarnation, with a higher incarnation.
TEST(swim_failure, a_restarted_instance_without_a_row_rejoins) {
    for (bool const is_declared_dead : {false, true}) {
        simulated_fleet fleet(9);
        fleet.add_synchronized_members(16);
        fleet.run(2s);
        fleet.kill(5);
        member_record next = fleet.at(5).own();
        if (is_declared_dead) {
            CHECK(fleet.run_until([&] { return fleet.all_observe(5, liveness::dead); }, 60s)
                      .has_value());
        }
        auto const former_incarnation = next.incarnation;
        next.incarnation = 0;
        next.sequence = 0;
        next.ip = "10.9.9.9";
        auto const restarted = fleet.add(next);
        fleet.at(restarted).add_seed({make_record(0).ip, make_record(0).gossip_port});
        auto const has_rejoined = [&] {
            for (std::size_t member = 0; member < 16; ++member) {
                auto const held = fleet.at(member).record_of(next.instance);
                bool const is_updated = held && held->ip == next.ip &&
                                        fleet.at(member).state_of(next.instance) == liveness::alive;
                if (member != 5 && !is_updated) {
                    return false;
                }
            }
            return true;
        };
        CHECK(fleet.run_until(has_rejoined, 60s).has_value());
        CHECK_FALSE(fleet.at(restarted).is_superseded());
        // Once the row is written, its revision supersedes the former incarnation.
        fleet.at(restarted).set_incarnation(former_incarnation + 1, fleet.now());
        fleet.flush(restarted);
        CHECK(fleet.run_until([&] { return fleet.is_converged(); }, 60s).has_value());
        CHECK_EQUAL(former_incarnation + 1, fleet.at(0).record_of(next.instance)->incarnation);
    }
}

// Guards against late datagrams of a former incarnation that override or stop its replacement.
TEST(swim_failure, a_replacement_supersedes_the_former_incarnation) {
    simulated_fleet fleet(7);
    fleet.add_synchronized_members(16);
    fleet.run(2s);
    member_record next = fleet.at(5).own();
    next.incarnation += 1000;
    next.ip = "10.9.9.9";
    auto const replacement = fleet.add(next);
    fleet.at(replacement).add_seed({make_record(0).ip, make_record(0).gossip_port});
    // The former incarnation is still running, and each datagram from or to it takes up to 20 s, so
    // that old and new datagrams are reordered.
    random_source random(8);
    fleet.set_network([&](std::size_t from, std::size_t to) {
        bool const is_former_incarnation = from == 5 || to == 5;
        return std::optional(
            milliseconds(is_former_incarnation ? random() % 20'000 : 1 + random() % 3));
    });
    fleet.run(90s);
    CHECK(fleet.at(5).is_superseded());
    CHECK_FALSE(fleet.at(replacement).is_superseded());
    for (std::size_t member = 0; member < 16; ++member) {
        if (member != 5) {
            auto const held = fleet.at(member).record_of(next.instance);
            CHECK(held && held->incarnation == next.incarnation && held->ip == next.ip);
            CHECK(fleet.at(member).state_of(next.instance) == liveness::alive);
        }
    }
}

// Guards against two halves that never rejoin after a long partition.
TEST(swim_failure, halves_partitioned_for_an_hour_rejoin) {
    simulated_fleet fleet(9);
    fleet.add_synchronized_members(24);
    fleet.run(5s);
    bool is_partitioned = true;
    fleet.set_network([&](std::size_t from, std::size_t to) {
        bool const is_across = (from < 12) != (to < 12);
        return is_partitioned && is_across ? std::nullopt : std::optional(milliseconds(2));
    });
    fleet.run(1h);
    CHECK_EQUAL(12U, fleet.at(0).present().size());
    CHECK_EQUAL(12U, fleet.at(23).present().size());
    is_partitioned = false;
    auto const taken = fleet.run_until(
        [&] { return fleet.is_converged() && fleet.at(0).present().size() == 24; }, 60s);
    report("24 members converged after", taken);
    CHECK(taken.has_value());
}

// Guards against requests to a draining member because its state spreads too slowly.
TEST(swim_failure, draining_reaches_860_members_within_2_seconds) {
    simulated_fleet fleet(10);
    fleet.add_synchronized_members(860);
    fleet.run(2s);
    std::string const name = fleet.at(17).own().instance;
    fleet.at(17).set_state(member_state::draining, fleet.now());
    fleet.flush(17);
    auto const has_reached_all = [&] {
        for (std::size_t member = 0; member < fleet.size(); ++member) {
            if (fleet.at(member).record_of(name)->state != member_state::draining) {
                return false;
            }
        }
        return true;
    };
    auto const taken = fleet.run_until(has_reached_all, 2s);
    report("draining received by 860 after", taken);
    CHECK(taken.has_value());
}

// Guards against a planned shutdown that is treated as a failure: probed, suspected and revived.
TEST(swim_failure, a_member_that_left_is_not_declared_dead) {
    simulated_fleet fleet(11);
    fleet.add_synchronized_members(16);
    fleet.run(2s);
    fleet.at(4).set_state(member_state::left, fleet.now());
    fleet.flush(4);
    fleet.run(500ms);
    fleet.kill(4);
    CHECK(fleet.all_observe(4, liveness::left));
    fleet.run(1min);
    CHECK(fleet.all_observe(4, liveness::left));
    for (std::size_t member = 0; member < 16; ++member) {
        CHECK_EQUAL(0U, fleet.at(member).counters().suspicions);
    }
}

// Guards against members that start with one seed and do not discover all others.
TEST(swim_failure, members_with_one_seed_discover_each_other) {
    simulated_fleet fleet(12);
    for (std::size_t number = 0; number < 40; ++number) {
        fleet.add(make_record(number));
        fleet.at(number).add_seed({make_record(0).ip, make_record(0).gossip_port});
    }
    auto const taken = fleet.run_until(
        [&] { return fleet.is_converged() && fleet.at(39).present().size() == 40; }, 30s);
    report("40 joined through one seed after", taken);
    CHECK(taken.has_value());
}
