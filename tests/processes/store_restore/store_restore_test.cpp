#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/http_caller.h"
#include "processes/support/wait_until.h"
#include "sidecar/commit_message.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr unsigned status_ok = 200;
// Rows that the store writes between two versions of the configuration, so that the revisions
// before a restore are clearly above those after it.
constexpr int other_writes = 40;
// Time in which a state that must not change is observed.
constexpr milliseconds observation_time{3000};

} // namespace

// A store that comes back from an earlier copy of its rows, as in a drill of the users.
TEST_GROUP(store_restore) {
    sidecar_fleet fleet;
    http_caller sender;
    std::vector<mesh_instance*> instances;
    int attempts = 0;

    // Two targets of the called service and a caller, in three availability zones.
    void setup() override {
        this->fleet.configure(1, 1);
        this->add("plants", {.availability_zone = "ariana"});
        this->add("deposits", {.availability_zone = "ben-arous"});
        this->add("deposits", {.availability_zone = "la-marsa"});
        CHECK(this->wait_until_in_force(0));
    }

    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

    mesh_instance& add(std::string const& service, instance_options const& options) {
        this->instances.push_back(&this->fleet.add(service, options));
        return *this->instances.back();
    }

    unsigned status_of(mesh_instance const& from, std::string const& path) {
        auto const answer =
            this->fleet.call(from, path, "attempt-" + std::to_string(++this->attempts));
        return answer ? answer->status : 0;
    }

    // Whether all nodes serve the additional route with the given number.
    bool is_in_force(std::size_t route) {
        return std::ranges::all_of(this->instances, [&](mesh_instance const* instance) {
            return this->status_of(*instance, "/more" + std::to_string(route) + "/1") == status_ok;
        });
    }

    bool wait_until_in_force(std::size_t route) {
        return wait_until([&] { return this->is_in_force(route); });
    }

    void write_other_rows(int count = other_writes) {
        for (int index = 0; index < count; ++index) {
            this->fleet.store().put("op", "unrelated", std::to_string(index));
        }
    }

    // The store is away while it goes back to the copy, so all nodes lose their feeds.
    void restore(store_standin::copy const& earlier, milliseconds clock_step = milliseconds(0)) {
        this->fleet.store().set_unavailable(true);
        this->fleet.store().restore(earlier, clock_step);
        std::this_thread::sleep_for(milliseconds(300));
        this->fleet.store().set_unavailable(false);
    }

    // The store loses a configuration that was in force. The operator writes it again, and then the
    // next one, which comes into force while the revisions are behind those before the restore.
    void check_next_configuration_after_restore() {
        auto const earlier = this->fleet.store().make_copy();
        this->write_other_rows();
        this->fleet.configure(2, 2);
        CHECK(this->wait_until_in_force(1));
        this->restore(*earlier);
        this->fleet.configure(2, 2);
        this->fleet.configure(3, 3);
        CHECK(this->wait_until_in_force(2));
    }

    std::string record_of(mesh_instance const& instance) {
        return this->fleet.store().value("peridot", "member/" + instance.name);
    }

    bool wait_until_recorded(mesh_instance const& instance, std::string const& state) {
        return wait_until([&] {
            return this->record_of(instance).find("\"" + state + "\"") != std::string::npos;
        });
    }

    void order_rollout(std::string const& version, int duration_s = 60) {
        this->fleet.store().put("op", "rollout/deposits",
                                R"({"Service":"deposits","To":")" + version + R"(","DurationS":)" +
                                    std::to_string(duration_s) + "}");
    }

    std::string status() {
        return this->fleet.store().value("status", "rollout/deposits");
    }

    bool wait_until_status(std::string const& state) {
        return wait_until([&] { return this->status().find(state) != std::string::npos; });
    }

    // Sends requests meanwhile, by which the new version is judged.
    bool wait_until_status_under_load(std::string const& state) {
        return wait_until([&] {
            this->status_of(*this->instances.front(), "/get/1");
            return this->status().find(state) != std::string::npos;
        });
    }

    std::string metrics_of(mesh_instance const& instance) {
        auto const answer = this->sender.call(sidecar_fleet::control_address(instance),
                                              {"GET", "/metrics", {}, {}});
        return answer ? answer->body : std::string();
    }

    bool is_blocked(mesh_instance const& instance) {
        return this->metrics_of(instance).find("peridot_gate_version_blocked 1") !=
               std::string::npos;
    }

    // Adds a target of another version that fails every request, orders the roll-out to it, and
    // waits until it is rolled back.
    mesh_instance& roll_back_bad_version() {
        auto& bad = this->add("deposits", {.version = "v2", .availability_zone = "ariana"});
        bad.target->set_failing(true);
        CHECK(wait_until([&] { return this->fleet.is_ready(bad); }));
        CHECK(this->wait_until_recorded(bad, "ready"));
        this->order_rollout("v2");
        CHECK(this->wait_until_status_under_load("rolled_back"));
        return bad;
    }
};

// Guards against nodes that take every row of a restored store for old, so that they keep an older
// configuration for as long as its revisions stay behind (CONFIG on kcg-mesh-grown).
TEST(store_restore, new_configuration_is_in_force_while_revisions_stay_behind) {
    check_next_configuration_after_restore();
}

// Guards against a roll-back that the operator cannot see any more, and against a version that is
// judged anew although it was taken back.
TEST(store_restore, roll_back_in_the_lost_seconds_stays_and_is_recorded_again) {
    auto const earlier = fleet.store().make_copy();
    auto& bad = roll_back_bad_version();
    CHECK(wait_until([&] { return is_blocked(bad); }));
    auto const before = bad.target->run_count();
    restore(*earlier);
    order_rollout("v2");
    CHECK(wait_until_status("rolled_back"));
    CHECK(is_blocked(bad));
    UNSIGNED_LONGS_EQUAL(before, bad.target->run_count());
}

// Guards against a target that serves but has no record, so that nodes that start later cannot
// know it.
TEST(store_restore, target_that_joined_in_the_lost_seconds_is_recorded_again) {
    auto const earlier = fleet.store().make_copy();
    auto& joined = add("deposits", {.availability_zone = "ariana"});
    CHECK(wait_until_recorded(joined, "ready"));
    restore(*earlier);
    CHECK(wait_until_recorded(joined, "ready"));
}

// Guards against changes that are skipped for good, because the revisions of the new era passed the
// old ones before any node read them.
TEST(store_restore, new_configuration_is_in_force_once_revisions_have_passed_the_old_ones) {
    write_other_rows();
    auto const earlier = fleet.store().make_copy();
    write_other_rows(5);
    fleet.configure(2, 2);
    CHECK(wait_until_in_force(1));
    for (auto const* instance : instances) {
        instance->node->send(SIGSTOP);
    }
    fleet.store().restore(*earlier);
    fleet.configure(3, 3);
    write_other_rows();
    for (auto const* instance : instances) {
        instance->node->send(SIGCONT);
    }
    CHECK(wait_until_in_force(2));
}

// Guards against an older configuration that is taken from the copy before the operator has written
// the newer one again.
TEST(store_restore, older_configuration_of_the_copy_is_not_taken) {
    auto const earlier = fleet.store().make_copy();
    fleet.configure(2, 2);
    CHECK(wait_until_in_force(1));
    restore(*earlier);
    auto const until = std::chrono::steady_clock::now() + observation_time;
    while (std::chrono::steady_clock::now() < until) {
        CHECK(is_in_force(1));
    }
    fleet.configure(2, 2);
    fleet.configure(3, 3);
    CHECK(wait_until_in_force(2));
}

// Guards against an order that holds across one copy only.
TEST(store_restore, new_configuration_is_in_force_after_several_restores) {
    auto const earlier = fleet.store().make_copy();
    for (std::uint64_t version = 2; version < 5; ++version) {
        write_other_rows();
        fleet.configure(version, version);
        CHECK(wait_until_in_force(version - 1));
        restore(*earlier);
        fleet.configure(version, version);
    }
    fleet.configure(5, 5);
    CHECK(wait_until_in_force(4));
}

// Guards against nodes that only other nodes can tell of the new era, and that hold rows of the old
// one.
TEST(store_restore, new_configuration_reaches_nodes_that_the_store_does_not_serve) {
    instances.push_back(&fleet.add_with_unreachable_store("deposits"));
    CHECK(wait_until_in_force(0));
    check_next_configuration_after_restore();
}

// Guards against a node that starts after the restore and takes an older configuration from a node
// that is cut off, or none.
TEST(store_restore, node_restarted_in_between_takes_the_new_configuration) {
    auto const earlier = fleet.store().make_copy();
    write_other_rows();
    fleet.configure(2, 2);
    CHECK(wait_until_in_force(1));
    instances.back()->node->end();
    restore(*earlier);
    fleet.restart(*instances.back());
    fleet.configure(2, 2);
    CHECK(wait_until_in_force(1));
    fleet.configure(3, 3);
    CHECK(wait_until_in_force(2));
}

// Guards against new requests for a target whose leaving the store has lost: the copy shows it as
// ready.
TEST(store_restore, target_that_left_in_the_lost_seconds_gets_nothing) {
    auto& left = add("deposits", {.availability_zone = "ariana"});
    CHECK(wait_until([&] {
        status_of(*instances.front(), "/get/1");
        return left.target->run_count() > 0;
    }));
    auto const earlier = fleet.store().make_copy();
    CHECK(left.target->deregister());
    CHECK(wait_until_recorded(left, "gone"));
    restore(*earlier);
    CHECK(wait_until_recorded(left, "gone"));
    std::this_thread::sleep_for(milliseconds(500));
    auto const before = left.target->run_count();
    for (int round = 0; round < 60; ++round) {
        UNSIGNED_LONGS_EQUAL(status_ok, status_of(*instances.front(), "/get/1"));
    }
    UNSIGNED_LONGS_EQUAL(before, left.target->run_count());
}

// Guards against a completed roll-out that runs again: its old targets have stopped.
TEST(store_restore, completion_in_the_lost_seconds_stays_and_is_recorded_again) {
    auto& next = add("deposits", {.version = "v2", .availability_zone = "ariana"});
    CHECK(wait_until_recorded(next, "ready"));
    order_rollout("v2", 3);
    CHECK(wait_until_status("running"));
    auto const earlier = fleet.store().make_copy();
    CHECK(wait_until_status_under_load("complete"));
    restore(*earlier);
    auto const before = next.target->run_count();
    for (int round = 0; round < 40; ++round) {
        UNSIGNED_LONGS_EQUAL(status_ok, status_of(*instances.front(), "/get/1"));
    }
    UNSIGNED_LONGS_EQUAL(before + 40, next.target->run_count());
    CHECK(wait_until_status("complete"));
}

// Guards against a verdict that is forgotten when its writer has gone and the operator's order gets
// a new revision.
TEST(store_restore, roll_back_stays_although_a_node_of_the_service_restarts) {
    auto const earlier = fleet.store().make_copy();
    auto& bad = roll_back_bad_version();
    auto const before = bad.target->run_count();
    instances.at(1)->node->end();
    restore(*earlier);
    fleet.restart(*instances.at(1));
    order_rollout("v2");
    CHECK(wait_until_status("rolled_back"));
    CHECK(wait_until([&] { return status_of(*instances.at(1), "/get/1") == status_ok; }));
    for (int round = 0; round < 40; ++round) {
        status_of(*instances.at(1), "/get/1");
    }
    UNSIGNED_LONGS_EQUAL(before, bad.target->run_count());
    CHECK(is_blocked(bad));
}

// Guards against a roll-out that stands still until the store's clock has caught up.
TEST(store_restore, roll_out_goes_on_when_the_clock_goes_back) {
    auto& next = add("deposits", {.version = "v2", .availability_zone = "ariana"});
    CHECK(wait_until_recorded(next, "ready"));
    order_rollout("v2", 6);
    CHECK(wait_until_status("running"));
    restore(*fleet.store().make_copy(), std::chrono::minutes(10));
    CHECK(wait_until_status_under_load("complete"));
}

// Guards against a record that is lost with the response to its write.
TEST(store_restore, record_is_written_again_after_a_lost_response_around_the_restore) {
    auto const earlier = fleet.store().make_copy();
    fleet.store().set_losing_answers(true);
    auto& joined = add("deposits", {.availability_zone = "ariana"});
    auto& left = *instances.at(1);
    left.target->deregister();
    CHECK(wait_until_recorded(left, "gone"));
    restore(*earlier);
    fleet.store().set_losing_answers(false);
    CHECK(wait_until_recorded(left, "gone"));
    CHECK(wait_until_recorded(joined, "ready"));
}

// Guards against many writes when a whole fleet has to write its records again at once.
TEST(store_restore, records_of_many_targets_are_written_again_in_few_transactions) {
    auto const earlier = fleet.store().make_copy();
    std::vector<mesh_instance*> joined;
    for (int index = 0; index < 9; ++index) {
        joined.push_back(&add("deposits", {.availability_zone = "ariana"}));
    }
    for (auto const* instance : joined) {
        CHECK(wait_until_recorded(*instance, "ready"));
    }
    CHECK(wait_until([&] { return is_in_force(0) && fleet.store().waiting_feeds() <= 6; }));
    auto const before = fleet.store().requested_transactions();
    restore(*earlier);
    for (auto const* instance : joined) {
        CHECK(wait_until_recorded(*instance, "ready"));
    }
    // Some of them may not have found their follower yet and write by themselves.
    CHECK(fleet.store().requested_transactions() - before <= 9);
}

// Guards against a write that meets a condition of the lost seconds by accident, since the revision
// was given out again.
TEST(store_restore, write_under_a_condition_of_an_ended_era_is_refused) {
    auto const earlier = fleet.store().make_copy();
    write_other_rows();
    restore(*earlier);
    fleet.configure(2, 2);
    CHECK(wait_until_in_force(1));
    auto const revision = fleet.store().revision("peridot", "member/" + instances.front()->name);
    replica_row const ended{"peridot", "member/" + instances.front()->name, "{}",
                            store_revision(1, revision), false};
    auto const answer = sender.call(sidecar_fleet::control_address(*instances.back()),
                                    write_commit_request({ended}));
    CHECK(answer.has_value());
    auto const outcome = read_commit_outcome(*answer);
    auto const* refused = std::get_if<error>(&outcome);
    CHECK(refused != nullptr);
    CHECK(refused->code == result_code::platform_era_ended);
}

// Guards against a restarted node that takes an older configuration from a node that was suspended,
// and counts as current. No store is restored here.
TEST(store_restore, restarted_node_takes_the_newest_configuration_of_its_peers) {
    auto const& suspended = *instances.at(1);
    suspended.node->send(SIGSTOP);
    fleet.configure(2, 2);
    CHECK(wait_until([&] {
        return status_of(*instances.at(0), "/more1/1") == status_ok &&
               status_of(*instances.at(2), "/more1/1") == status_ok;
    }));
    fleet.store().set_unavailable(true);
    instances.at(2)->node->end();
    fleet.restart(*instances.at(2));
    suspended.node->send(SIGCONT);
    CHECK(wait_until_in_force(1));
}
