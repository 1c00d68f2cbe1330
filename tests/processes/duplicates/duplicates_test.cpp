#include "processes/support/contract_terms.h"
#include "processes/support/fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

using namespace peridot;
using namespace peridot::processes;
namespace json = boost::json;

namespace {

http_request refund(std::string const& key, std::string const& id) {
    http_request request{"POST", "/deposits/refunds", {}, "{}"};
    request.headers.set("Authorization", std::string("Bearer cafe-partners.") + test_secret);
    request.headers.set("Idempotency-Key", key);
    request.headers.set("X-Test-Id", id);
    return request;
}

} // namespace

TEST_GROUP(processes_duplicates) {
    fleet system;
    target_process* target = nullptr;

    void setup() override {
        auto& first_node = system.add_node();
        system.add_node();
        target = &system.add_target(first_node);
        contract_terms terms;
        terms.deduplicates = true;
        CHECK(system.all_hold(system.apply(terms)));
        CHECK(system.all_see_serving(1));
    }

    http_response call(std::size_t node, std::string const& key, std::string const& id) {
        auto const answer = system.http().call(system.nodes().at(node)->calls, refund(key, id));
        CHECK(answer.has_value());
        return answer.value_or(http_response{});
    }

    std::uint64_t executions() {
        auto const counts = system.http().get(target->address, "/admin/executed");
        return counts.at("total").to_number<std::uint64_t>();
    }
};

// Guards against a refund that runs twice because the caller retries it at another node.
TEST(processes_duplicates, a_repeated_key_runs_once_over_two_nodes) {
    UNSIGNED_LONGS_EQUAL(200, call(0, "refund-1", "first").status);
    auto const second = call(1, "refund-1", "second");
    UNSIGNED_LONGS_EQUAL(409, second.status);
    STRCMP_EQUAL("not_run", std::string(second.headers.value("Peridot-Outcome")).c_str());
    UNSIGNED_LONGS_EQUAL(200, call(1, "refund-2", "third").status);
    UNSIGNED_LONGS_EQUAL(2, executions());
}

// Guards against a refund that runs although its idempotency key could not be recorded.
TEST(processes_duplicates, nothing_runs_while_the_platform_is_unavailable) {
    CHECK(system.set_faults({{"outage", true}}));
    auto const refused = call(0, "refund-1", "first");
    UNSIGNED_LONGS_EQUAL(503, refused.status);
    STRCMP_EQUAL("not_run", std::string(refused.headers.value("Peridot-Outcome")).c_str());
    UNSIGNED_LONGS_EQUAL(0, executions());
    CHECK(system.set_faults({{"outage", false}}));
    UNSIGNED_LONGS_EQUAL(200, call(0, "refund-1", "again").status);
    UNSIGNED_LONGS_EQUAL(1, executions());
}

// Guards against a refund that runs twice, or is refused as its own duplicate, because the answer
// to the write of its key was lost.
TEST(processes_duplicates, a_lost_answer_to_the_record_write_is_resolved) {
    CHECK(system.set_faults({{"lose_answers", 1}}));
    UNSIGNED_LONGS_EQUAL(200, call(0, "refund-1", "first").status);
    UNSIGNED_LONGS_EQUAL(409, call(1, "refund-1", "second").status);
    UNSIGNED_LONGS_EQUAL(1, executions());
}

// Guards against a key that remains reserved after a request that was not run.
TEST(processes_duplicates, a_request_that_was_not_run_releases_its_key) {
    CHECK(system.set_behaviour(*target, {{"shedding", true}}));
    auto const shed = call(0, "refund-1", "first");
    STRCMP_EQUAL("not_run", std::string(shed.headers.value("Peridot-Outcome")).c_str());
    CHECK(system.set_behaviour(*target, {{"shedding", false}}));
    UNSIGNED_LONGS_EQUAL(200, call(1, "refund-1", "second").status);
    UNSIGNED_LONGS_EQUAL(1, executions());
}
