#include "processes/support/fake_target.h"
#include "processes/support/fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <csignal>

using namespace peridot;
using namespace peridot::processes;

namespace {

constexpr std::uint32_t long_timeout_ms = 300'000;

http_request make_request(std::string method, std::string const& id, std::string const& deadline) {
    http_request request{std::move(method), "/deposits/x", {}, {}};
    request.headers.set("Authorization", std::string("Bearer cafe-partners.") + test_secret);
    request.headers.set("X-Test-Id", id);
    if (!deadline.empty()) {
        request.headers.set("Peridot-Deadline-Ms", deadline);
    }
    return request;
}

} // namespace

// A fleet with one target that injects faults into its answers on the wire.
TEST_GROUP(processes_wire_faults) {
    fleet system;
    std::unique_ptr<fake_target> target;

    void start(std::size_t nodes = 1) {
        for (std::size_t number = 0; number < nodes; ++number) {
            this->system.add_node();
        }
        auto const& last = *this->system.nodes().back();
        this->target = std::make_unique<fake_target>(last.calls.ip, last.admin);
        contract_terms terms;
        terms.timeout_ms = long_timeout_ms;
        CHECK(this->system.all_hold(this->system.apply(terms)));
        CHECK(this->system.all_see_serving(1));
    }

    http_response call(std::string method, std::string const& id,
                       std::string const& deadline = "2000") {
        auto answer = this->system.http().call(this->system.nodes().front()->calls,
                                               make_request(std::move(method), id, deadline));
        CHECK(answer.has_value());
        return *answer;
    }

    void check_matching_answer(std::string const& id) {
        auto const answer = this->call("GET", id);
        UNSIGNED_LONGS_EQUAL(200, answer.status);
        STRCMP_CONTAINS(("\"" + id + "\"").c_str(), answer.body.c_str());
    }

    void check_unknown_outcome(http_response const& answer) {
        CHECK(answer.status >= 500);
        CHECK(answer.headers.value("Peridot-Outcome") == "unknown");
    }
};

// Guards against a truncated answer that is forwarded as a complete one.
TEST(processes_wire_faults, truncated_answers_are_not_passed_on) {
    start();
    for (auto const fault :
         {answer_fault::truncated, answer_fault::stalled, answer_fault::closed}) {
        for (char const* method : {"GET", "POST"}) {
            target->set_fault(fault);
            check_unknown_outcome(call(method, std::string("cut-") + method, "500"));
            target->set_fault(answer_fault::none);
            check_matching_answer("whole");
        }
    }
    UNSIGNED_LONGS_EQUAL(3, target->arrived("cut-POST"));
    // A GET whose answer is truncated or whose connection is closed is retried once. The stalled
    // GET is not, because its deadline has passed.
    UNSIGNED_LONGS_EQUAL(5, target->arrived("cut-GET"));
}

// Guards against an answer that arrives after its request has ended and is matched with the next
// request on the connection.
TEST(processes_wire_faults, late_answers_reach_no_other_request) {
    start();
    for (std::size_t round = 1; round <= 5; ++round) {
        target->set_fault(answer_fault::late);
        check_unknown_outcome(call("GET", "late", "200"));
        UNSIGNED_LONGS_EQUAL(round, target->arrived("late"));
        target->release();
        CHECK(wait_until([&] { return target->released() == round; }));
        target->set_fault(answer_fault::none);
        check_matching_answer("next-" + std::to_string(round));
    }
}

// Guards against a duplicate answer that is matched with the next request on the connection.
TEST(processes_wire_faults, duplicated_answers_reach_no_other_request) {
    start();
    for (int round = 0; round < 20; ++round) {
        target->set_fault(answer_fault::duplicated);
        check_matching_answer("twice-" + std::to_string(round));
        target->set_fault(answer_fault::none);
        check_matching_answer("next-" + std::to_string(round));
    }
}

// Guards against an answer to one request that is forwarded to another.
TEST(processes_wire_faults, swapped_answers_are_not_passed_on) {
    start();
    target->set_fault(answer_fault::swapped);
    boost::asio::io_context context;
    connection_pool connections(context);
    std::vector<std::future<connection_pool::exchange_result>> pending;
    for (char const* id : {"left", "right"}) {
        auto const deadline = std::chrono::steady_clock::now() + wait_limit;
        pending.push_back(
            boost::asio::co_spawn(context,
                                  connections.exchange(system.nodes().front()->calls,
                                                       make_request("POST", id, "30000"), deadline),
                                  boost::asio::use_future));
    }
    context.run();
    for (auto& outcome : pending) {
        auto const exchanged = outcome.get();
        auto const* answer = std::get_if<http_response>(&exchanged);
        CHECK(answer != nullptr);
        check_unknown_outcome(*answer);
    }
    target->set_fault(answer_fault::none);
    check_matching_answer("after");
}

// Guards against a request that waits for a target beyond its deadline, and against an expired
// request that is dispatched to a target.
TEST(processes_wire_faults, deadline_ends_the_wait_and_stops_dispatch) {
    start();
    target->set_fault(answer_fault::silent);
    // The target never answers, so only the deadline can end the request.
    auto const expired = call("POST", "expired", "300");
    check_unknown_outcome(expired);
    UNSIGNED_LONGS_EQUAL(504, expired.status);
    auto const late = call("POST", "too-late", "0");
    UNSIGNED_LONGS_EQUAL(504, late.status);
    CHECK(late.headers.value("Peridot-Outcome") == "not_run");
    UNSIGNED_LONGS_EQUAL(0, target->arrived("too-late"));
}

// Guards against a node that resumes after a freeze and dispatches an expired request.
TEST(processes_wire_faults, expired_work_is_dropped_after_a_freeze) {
    start(2);
    check_matching_answer("before");
    auto& frozen = *system.nodes().back();
    frozen.process->send(SIGSTOP);
    check_unknown_outcome(call("POST", "frozen", "500"));
    frozen.process->send(SIGCONT);
    CHECK(wait_until([&] { return system.status(frozen).is_object(); }));
    CHECK(wait_until([&] { return call("GET", "marker").status == 200; }));
    UNSIGNED_LONGS_EQUAL(0, target->arrived("frozen"));
}

// Guards against work that continues after its caller has disconnected.
TEST(processes_wire_faults, disconnected_caller_cancels_the_work) {
    start(2);
    target->set_fault(answer_fault::silent);
    boost::asio::io_context context;
    {
        connection_pool connections(context);
        auto const deadline = std::chrono::steady_clock::now() + milliseconds(500);
        auto outcome =
            boost::asio::co_spawn(context,
                                  connections.exchange(system.nodes().front()->calls,
                                                       make_request("POST", "left", ""), deadline),
                                  boost::asio::use_future);
        context.run();
        CHECK(std::holds_alternative<exchange_failure>(outcome.get()));
    }
    UNSIGNED_LONGS_EQUAL(1, target->arrived("left"));
    // The route's timeout is far longer than the limit of this wait, so it cannot end the request.
    CHECK(wait_until([&] { return target->abandoned() == 1; }));
}
