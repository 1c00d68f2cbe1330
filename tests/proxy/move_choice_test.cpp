#include "proxy/move_choice.h"

#include "http/http_request.h"
#include "membership/endpoint_directory.h"
#include "moves/default_ramp.h"
#include "proxy/attempt_result.h"
#include "proxy/move_recorder.h"
#include "proxy/node_state.h"
#include "proxy/routed_call.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace peridot;

namespace {

steady_time const start{seconds(1000)};

std::shared_ptr<moved_service> make_moved_service(double share) {
    auto service = std::make_shared<moved_service>();
    service->plan.id = "deposits-1";
    service->plan.service = "deposits";
    service->plan.from = "v1";
    service->plan.to = "v2";
    service->progress = std::make_shared<move_progress>();
    service->progress->set_share(share);
    service->routes["/balance"] = std::make_shared<route_counters>();
    return service;
}

endpoint_directory make_directory(std::vector<std::string> const& versions) {
    std::vector<member_record> members;
    for (auto const& version : versions) {
        member_record member;
        member.instance = "node-" + version;
        member.service = "deposits";
        member.target_version = version;
        member.state = member_state::serving;
        members.push_back(member);
    }
    return endpoint_directory(members);
}

attempt_result answered(unsigned status) {
    attempt_result ended;
    ended.answer.status = status;
    return ended;
}

attempt_result failed(attempt_outcome outcome, result_code code) {
    attempt_result ended;
    ended.failed = failed_attempt{outcome, code, 1};
    return ended;
}

} // namespace

TEST_GROUP(move_choice) {
    node_state node;
    service_chunk chunk{"deposits", "v1", "a move"};
    service_grant grant{"deposits"};
    route matched{"/balance"};
    std::shared_ptr<moved_service> service;

    void run_move(double share) {
        this->service = make_moved_service(share);
        auto table = std::make_shared<move_table>();
        table->services["deposits"] = this->service;
        this->node.moves.replace(std::move(table));
    }

    routed_call choose(std::string const& id, http_request const& request = {}) {
        routed_call call;
        call.grant = &this->grant;
        call.matched = &this->matched;
        call.service = &this->chunk;
        call.request_id = id;
        call.target_version = this->chunk.target_version;
        choose_target_version(call, this->node, request, start);
        return call;
    }

    version_evidence counts(target_side side) const {
        auto const both = this->service->routes.at("/balance")->load();
        return side == target_side::new_version ? both.new_version : both.old_version;
    }
};

// Guards against a share on the request path that is not the one that the control thread set.
TEST(move_choice, the_new_version_gets_its_share_of_the_calls) {
    this->run_move(0.2);
    int chosen = 0;
    for (int number = 0; number < 10'000; ++number) {
        chosen += this->choose("request-" + std::to_string(number)).target_version == "v2" ? 1 : 0;
    }
    CHECK_TRUE(chosen > 1800 && chosen < 2200);
}

// Guards against calls of one session that change between the versions.
TEST(move_choice, calls_of_a_session_stay_on_one_version) {
    this->run_move(0.5);
    this->matched.session_header = "X-Session";
    for (int session = 0; session < 20; ++session) {
        http_request const request{
            "GET", "/", {{"X-Session", "session-" + std::to_string(session)}}, ""};
        auto const first = this->choose("a", request).target_version;
        for (int number = 0; number < 20; ++number) {
            STRCMP_EQUAL(first.c_str(),
                         this->choose(std::to_string(number), request).target_version.c_str());
        }
    }
}

// Guards against a version that is chosen by a table that is older or newer than the snapshot.
TEST(move_choice, a_table_that_does_not_fit_the_snapshot_is_ignored) {
    this->run_move(1);
    this->chunk.move.clear();
    STRCMP_EQUAL("v1", this->choose("a").target_version.c_str());
    this->chunk = {"deposits", "v0", "another move"};
    STRCMP_EQUAL("v0", this->choose("a").target_version.c_str());
}

// Guards against a call that goes to a version after its take-back because it was routed before.
TEST(move_choice, a_call_under_way_leaves_a_version_that_is_taken_back) {
    this->run_move(1);
    auto call = this->choose("a");
    STRCMP_EQUAL("v2", call.target_version.c_str());
    this->service->progress->set_share(0);
    update_target_version(call, make_directory({"v1", "v2"}), start);
    STRCMP_EQUAL("v1", call.target_version.c_str());
    // Not even without endpoints of the old version.
    update_target_version(call, make_directory({"v2"}), start);
    STRCMP_EQUAL("v1", call.target_version.c_str());
}

// Guards against calls that fail although the other version could serve them.
TEST(move_choice, a_version_without_endpoints_leaves_its_calls_to_the_other_one) {
    this->run_move(0.5);
    for (int number = 0; number < 100; ++number) {
        auto call = this->choose(std::to_string(number));
        update_target_version(call, make_directory({"v1"}), start);
        STRCMP_EQUAL("v1", call.target_version.c_str());
        update_target_version(call, make_directory({"v2"}), start);
        STRCMP_EQUAL("v2", call.target_version.c_str());
    }
}

// Guards against a node that goes on sending to a version that fails all its calls, while the
// judges' decision is on its way.
TEST(move_choice, a_node_stops_sending_to_a_version_that_fails_its_calls) {
    this->run_move(1);
    move_recorder recorder;
    auto call = this->choose("a");
    for (int number = 0; number < 40; ++number) {
        recorder.record(call, answered(500), 1, milliseconds(1), start);
    }
    STRCMP_EQUAL("v1", this->choose("b").target_version.c_str());
    update_target_version(call, make_directory({"v1", "v2"}), start);
    STRCMP_EQUAL("v1", call.target_version.c_str());
}

// Guards against refusals and retries that condemn a version, and against faults that are missed.
TEST(move_choice, only_faults_of_the_target_in_first_attempts_are_failures) {
    this->run_move(1);
    move_recorder recorder;
    auto const call = this->choose("a");
    auto const record = [&](attempt_result const& ended, unsigned attempt) {
        recorder.record(call, ended, attempt, milliseconds(1), start);
    };
    record(failed(attempt_outcome::not_run, result_code::request_overloaded), 1);
    record(failed(attempt_outcome::not_run, result_code::request_limit_exceeded), 1);
    record(failed(attempt_outcome::not_run, result_code::request_draining), 1);
    record(failed(attempt_outcome::unknown, result_code::request_cancelled), 1);
    record(answered(500), 2);
    CHECK_EQUAL(0U, this->counts(target_side::new_version).calls);
    record(answered(200), 1);
    record(answered(404), 1);
    CHECK_EQUAL(0U, this->counts(target_side::new_version).failures);
    record(answered(503), 1);
    record(failed(attempt_outcome::unknown, result_code::request_deadline_exceeded), 1);
    record(failed(attempt_outcome::not_run, result_code::request_connect_failed), 1);
    CHECK_EQUAL(3U, this->counts(target_side::new_version).failures);
    CHECK_EQUAL(5U, this->counts(target_side::new_version).calls);
    CHECK_EQUAL(0U, this->counts(target_side::old_version).calls);
}

// Guards against counts that judges refuse because they were read while workers counted.
TEST(move_choice, counts_that_are_read_while_workers_count_fit_together) {
    route_counters counters;
    std::atomic<bool> ended{false};
    std::thread worker([&] {
        for (int number = 0; number < 200'000; ++number) {
            call_result call;
            call.side = target_side::new_version;
            call.outcome = number % 3 == 0 ? call_outcome::failed : call_outcome::succeeded;
            call.pressure = static_cast<std::uint8_t>(number % 101);
            call.latency = microseconds(number % 5000);
            counters.record(call);
        }
        ended = true;
    });
    version_evidence before;
    bool all_continue = true;
    while (!ended) {
        auto const now = counters.load().new_version;
        all_continue = all_continue && is_valid_successor(now, before);
        before = now;
    }
    worker.join();
    CHECK_TRUE(all_continue);
    CHECK_EQUAL(200'000U, counters.load().new_version.calls);
}
