#include "processes/mesh_support/sidecar_fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <iostream>
#include <string>

using namespace peridot;
using namespace peridot::processes;

namespace {

// A fleet with one target, whose node is restarted, and a caller of it.
class restarted_node_test : public Utest {
public:
    void teardown() override {
        if (UtestShell::getCurrent()->hasFailed()) {
            this->fleet.print_logs(std::cout);
        }
    }

protected:
    void wait_until_served() {
        CHECK(wait_until([&] { return this->status_of_call() == 200; }));
    }

    unsigned status_of_call() {
        auto const answer = this->fleet.call(*this->caller, "/pay/1",
                                             "attempt-" + std::to_string(++this->attempts));
        return answer ? answer->status : 0;
    }

    sidecar_fleet fleet;
    mesh_instance* caller = nullptr;
    mesh_instance* restarted = nullptr;
    int attempts = 0;
};

} // namespace

// A target whose node is restarted while the target continues to run.
TEST_GROUP_BASE(target_restart, restarted_node_test){void setup() override{this->fleet.configure(1);
this->caller = &this->fleet.add("plants");
this->restarted = &this->fleet.add("deposits");
this->wait_until_served();
}

// Restarts the node and waits until it accepts requests.
void restart_node() {
    this->restarted->node->end();
    this->fleet.restart(*this->restarted);
    CHECK(wait_until([&] { return this->fleet.is_ready(*this->restarted); }));
}
}
;

// Guards against a leaving that is acknowledged while the store takes no writes, and forgotten by
// the next process of the node, which reads the older record: requests reached the target long
// after it had left.
TEST(target_restart, leaving_that_the_store_did_not_take_is_not_forgotten) {
    fleet.store().set_unavailable(true);
    CHECK(restarted->target->deregister());
    auto const before = restarted->target->run_count();
    restarted->node->end();
    fleet.store().set_unavailable(false);
    restart_node();
    for (int round = 0; round < 30; ++round) {
        UNSIGNED_LONGS_EQUAL(503, status_of_call());
    }
    UNSIGNED_LONGS_EQUAL(before, restarted->target->run_count());
}

// Guards against a target that stays unused after a restart of its node although it announces
// itself.
TEST(target_restart, living_target_is_used_after_its_next_announcement) {
    restart_node();
    auto const before = restarted->target->run_count();
    CHECK(wait_until([&] { return status_of_call() == 200; }));
    CHECK(restarted->target->run_count() > before);
}

// A target that leaves, whose node is then restarted while the store is out. The node knows no
// other node, so it cannot read its record before the store is back.
TEST_GROUP_BASE(late_heartbeat, restarted_node_test) {
    static constexpr std::uint64_t late_sequence = 1;
    static constexpr std::uint64_t draining_sequence = 1'000'000;

    void setup() override {
        this->fleet.configure(1);
        this->restarted = &this->fleet.add("deposits");
        this->caller = &this->fleet.add("plants");
        this->wait_until_served();
    }

    bool is_recorded_as(std::string const& state) {
        auto const record = this->fleet.store().value("peridot", "member/" + this->restarted->name);
        return record.find("\"state\":\"" + state + "\"") != std::string::npos;
    }

    void restart_node_in_outage() {
        this->fleet.store().set_unavailable(true);
        this->restarted->node->end();
        this->fleet.restart(*this->restarted);
    }

    void send_late_heartbeat() {
        CHECK(
            wait_until([&] { return this->restarted->target->announce("ready", late_sequence); }));
    }

    void end_outage() {
        this->fleet.store().set_unavailable(false);
        CHECK(wait_until([&] { return this->fleet.is_ready(*this->restarted); }));
    }

    // Whether no request reaches the target until a change of the configuration, which follows the
    // return of the store, is in force.
    void check_gets_no_request(std::string const& recorded_state) {
        auto const before = this->restarted->target->run_count();
        this->fleet.configure(2, 1);
        CHECK(wait_until([&] {
            auto const answer =
                this->fleet.call(*this->restarted, "/more0/1", std::to_string(++this->attempts));
            return answer && answer->status != 404;
        }));
        for (int round = 0; round < 30; ++round) {
            UNSIGNED_LONGS_EQUAL(503, this->status_of_call());
        }
        UNSIGNED_LONGS_EQUAL(before, this->restarted->target->run_count());
        CHECK(this->is_recorded_as(recorded_state));
    }
};

// Guards against a late heartbeat that a restarted node believes before it has read its record, and
// by which it overwrites the record of the leaving (review/6, DRAIN).
TEST(late_heartbeat, does_not_undo_a_deregistration) {
    CHECK(restarted->target->deregister());
    CHECK(wait_until([&] { return is_recorded_as("gone"); }));
    restart_node_in_outage();
    send_late_heartbeat();
    end_outage();
    check_gets_no_request("gone");
}

// Guards against the same for a leaving that was said by a heartbeat.
TEST(late_heartbeat, does_not_undo_a_draining_heartbeat) {
    restarted->target->stop_heartbeats();
    CHECK(restarted->target->announce("draining", draining_sequence));
    CHECK(wait_until([&] { return is_recorded_as("draining"); }));
    restart_node_in_outage();
    send_late_heartbeat();
    end_outage();
    check_gets_no_request("draining");
}

// Guards against the same for a leaving that was said in a response.
TEST(late_heartbeat, does_not_undo_a_leaving_stated_in_a_response) {
    restarted->target->stop_heartbeats();
    restarted->target->set_leaving(true);
    CHECK(wait_until([&] { return status_of_call() == 503; }));
    CHECK(wait_until([&] { return is_recorded_as("draining"); }));
    restart_node_in_outage();
    send_late_heartbeat();
    end_outage();
    check_gets_no_request("draining");
}

// Guards against a late heartbeat that confirms the record of a ready target, because the store did
// not take the leaving.
TEST(late_heartbeat, does_not_undo_a_leaving_that_the_store_did_not_take) {
    fleet.store().set_unavailable(true);
    CHECK(restarted->target->deregister());
    restart_node_in_outage();
    send_late_heartbeat();
    end_outage();
    check_gets_no_request("ready");
}

// Guards against a deregistration that a restarted node acknowledges before it has read its record
// and forgets, because the heartbeat before it was not in force yet.
TEST(late_heartbeat, deregistration_after_it_is_recorded) {
    restarted->target->stop_heartbeats();
    restart_node_in_outage();
    send_late_heartbeat();
    CHECK(restarted->target->deregister());
    end_outage();
    CHECK(wait_until([&] { return is_recorded_as("gone"); }));
    check_gets_no_request("gone");
}

// Guards against a target that starts anew under its id after it has left, and is not used because
// the record of its earlier process shows the leaving.
TEST(late_heartbeat, target_that_starts_anew_is_served) {
    CHECK(restarted->target->deregister());
    CHECK(wait_until([&] { return is_recorded_as("gone"); }));
    restart_node_in_outage();
    send_late_heartbeat();
    CHECK(restarted->target->announce("ready", 1, seconds(10)));
    end_outage();
    CHECK(wait_until([&] { return status_of_call() == 200; }));
    CHECK(wait_until([&] { return is_recorded_as("ready"); }));
}
