#include "processes/support/caller_group.h"
#include "processes/support/fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

#include <csignal>
#include <map>

using namespace peridot;
using namespace peridot::processes;
namespace json = boost::json;

namespace {

constexpr std::size_t callers = 16;
constexpr std::size_t calls_before = 300;
constexpr std::size_t calls_after = 600;
constexpr char const* draining_code = "4005";

} // namespace

TEST_GROUP(processes_requests) {
    fleet system;

    // Starts three nodes with one target each. The targets log every request that they execute.
    void start_fleet() {
        for (int number = 0; number < 3; ++number) {
            this->system.add_target(this->system.add_node(), "v1", {{"log_level", "debug"}});
        }
        CHECK(this->system.all_hold(this->system.apply({})));
        CHECK(this->system.all_see_serving(3));
    }

    std::vector<socket_address> entries(std::size_t count) {
        std::vector<socket_address> addresses;
        for (std::size_t number = 0; number < count; ++number) {
            addresses.push_back(this->system.nodes()[number]->calls);
        }
        return addresses;
    }

    // Execution counts by X-Test-Id, including those of killed targets.
    std::map<std::string, int> executions() {
        std::map<std::string, int> counts;
        constexpr std::string_view mark = "\"event\":\"request_runs\"";
        for (auto const& target : this->system.targets()) {
            std::istringstream lines(target->process->log());
            for (std::string line; std::getline(lines, line);) {
                if (line.find(mark) != std::string::npos && line.ends_with('}')) {
                    ++counts[std::string(json::parse(line).at("id").as_string())];
                }
            }
        }
        return counts;
    }

    // Checks the guarantees that hold for every request, whichever process is killed.
    void check_execution_guarantees(std::vector<call_record> const& records) {
        auto const ran = this->executions();
        std::size_t answered = 0;
        for (auto const& record : records) {
            auto const found = ran.find(record.id);
            int const times = found == ran.end() ? 0 : found->second;
            auto const text = record.method + " " + record.id + " " + record.outcome;
            CHECK_TEXT(record.method == "GET" || times <= 1, (text + " ran twice").c_str());
            CHECK_TEXT(record.outcome != "not_run" || times == 0, (text + " ran").c_str());
            CHECK_TEXT(record.outcome != "run" || times >= 1, (text + " did not run").c_str());
            CHECK_TEXT(record.is_matching, (text + " received another answer").c_str());
            answered += record.status == 200 ? 1 : 0;
        }
        CHECK(answered >= calls_before);
    }
};

// Guards against a POST whose answer is lost and that is retried or reported as run or not run.
TEST(processes_requests, post_with_a_lost_answer_runs_once_and_is_unknown) {
    auto& node = system.add_node();
    auto& target = system.add_target(node);
    CHECK(system.all_hold(system.apply({})));
    CHECK(system.all_see_serving(1));
    std::string const credential = std::string("Bearer cafe-partners.") + test_secret;
    for (int number = 0; number < 20; ++number) {
        CHECK(system.set_behaviour(target, {{"lose_answers", 1}}));
        auto const id = "lost-" + std::to_string(number);
        auto const answer = system.http().call(
            node.calls,
            {"POST", "/deposits/x", {{"Authorization", credential}, {"X-Test-Id", id}}, {}});
        CHECK(answer.has_value());
        CHECK(answer->status >= 500);
        CHECK(answer->headers.value("Peridot-Outcome") == "unknown");
        auto const counts = system.http().get(target.address, "/admin/executed");
        CHECK(counts.at("executions").at(id) == json::value(1));
    }
}

// Guards against POSTs that run twice, and not_run answers for requests that ran, when the node of
// a target is killed under load.
TEST(processes_requests, killed_node_repeats_no_post) {
    start_fleet();
    caller_group group("k", entries(2), callers);
    CHECK(group.wait_for_more(calls_before));
    system.nodes()[2]->process->end();
    CHECK(group.wait_for_more(calls_after));
    check_execution_guarantees(group.stop());
}

// Guards against the same faults when the target itself is killed.
TEST(processes_requests, killed_target_repeats_no_post) {
    start_fleet();
    caller_group group("t", entries(3), callers);
    CHECK(group.wait_for_more(calls_before));
    system.targets()[2]->process->end();
    CHECK(group.wait_for_more(calls_after));
    check_execution_guarantees(group.stop());
}

// Guards against GET requests that fail although other targets can answer them.
TEST(processes_requests, every_get_is_answered_despite_a_killed_target) {
    start_fleet();
    caller_group group("g", entries(2), callers);
    CHECK(group.wait_for_more(calls_before));
    system.targets()[2]->process->end();
    CHECK(group.wait_for_more(calls_after));
    auto const records = group.stop();
    check_execution_guarantees(records);
    for (auto const& record : records) {
        CHECK_TEXT(record.method != "GET" || record.status == 200, record.id.c_str());
    }
}

// Guards against a graceful stop that interrupts requests in flight.
TEST(processes_requests, terminated_node_completes_requests_in_flight) {
    start_fleet();
    caller_group others("o", entries(2), callers);
    caller_group stopping("s", {system.nodes()[2]->calls}, callers, draining_code);
    CHECK(others.wait_for_more(calls_before));
    CHECK(stopping.wait_for_more(calls_before));
    // Longer than the node's deregistration notice, so that requests are in flight when it ends.
    CHECK(system.set_behaviour(*system.targets()[2], {{"service_time_ms", 2500}}));
    CHECK(wait_until([&] {
        auto const load = system.http().get(system.targets()[2]->address, "/load");
        return load.is_object() && load.at("load").to_number<int>() >= 4;
    }));
    system.nodes()[2]->process->send(SIGTERM);
    LONGS_EQUAL(0, system.nodes()[2]->process->exit_code().value_or(-1));
    CHECK(others.wait_for_more(calls_before));
    for (auto const& records : {stopping.stop(), others.stop()}) {
        check_execution_guarantees(records);
        for (auto const& record : records) {
            auto const text = record.id + " " + record.outcome + " " + record.code;
            CHECK_TEXT(record.status != 0 && record.outcome != "unknown", text.c_str());
        }
    }
}
