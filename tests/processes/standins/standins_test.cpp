#include "processes/support/fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

#include <csignal>

using namespace peridot;
using namespace peridot::processes;
namespace json = boost::json;

namespace {

json::object write_of(std::string const& key, int value) {
    return {{"conditions", json::array{}}, {"writes", {{{"key", key}, {"value", value}}}}};
}

http_request get(std::string target) {
    return {"GET", std::move(target), {}, {}};
}

// The status of an answer; 0 if no complete answer arrived.
unsigned status_of(std::optional<http_response> const& answer) {
    return answer ? answer->status : 0;
}

} // namespace

// Other tests rely on the faults of the stand-ins and would pass if a fault had no effect.
TEST_GROUP(processes_standins) {
    fleet system;

    bool commit(json::object const& transaction) {
        return this->system.http().put(this->system.platform(), "/table/transactions", transaction,
                                       "POST");
    }
    std::optional<http_response> read(std::string const& target) {
        return this->system.http().call(this->system.platform(), get(target));
    }
};

// Guards against a simulated lost answer whose write is not applied.
TEST(processes_standins, platform_loses_the_answer_and_keeps_the_write) {
    CHECK(system.set_faults({{"lose_answers", 1}}));
    CHECK_FALSE(commit(write_of("a", 1)));
    CHECK(system.row("a") == json::value(1));
    CHECK(commit(write_of("a", 2)));
}

// Guards against a simulated outage or silence that does not affect requests, or does not end.
TEST(processes_standins, platform_outage_and_silence_end_when_reset) {
    CHECK(commit(write_of("a", 1)));
    CHECK(system.set_faults({{"outage", true}}));
    UNSIGNED_LONGS_EQUAL(503, status_of(read("/table/rows/a")));
    CHECK_FALSE(commit(write_of("a", 2)));
    CHECK(system.set_faults({{"outage", false}, {"silent", true}}));
    UNSIGNED_LONGS_EQUAL(0, status_of(read("/table/rows/a")));
    CHECK(system.set_faults({{"silent", false}}));
    CHECK(system.row("a") == json::value(1));
}

// Guards against a restore that keeps later rows, or that assigns a revision twice.
TEST(processes_standins, platform_restores_saved_rows_and_keeps_revisions_increasing) {
    CHECK(commit(write_of("a", 1)));
    CHECK(system.http().put(system.platform(), "/admin/save/one", nullptr, "POST"));
    CHECK(commit(write_of("a", 2)));
    CHECK(commit(write_of("b", 1)));
    CHECK(system.http().put(system.platform(), "/admin/restore/one", nullptr, "POST"));
    CHECK(system.row("a") == json::value(1));
    CHECK(system.row("b").is_null());
    CHECK(commit(write_of("c", 1)));
    auto const later = system.http().get(system.platform(), "/table/rows/c");
    UNSIGNED_LONGS_EQUAL(4, later.at("revision").to_number<std::uint64_t>());
    CHECK_FALSE(system.http().put(system.platform(), "/admin/restore/none", nullptr, "POST"));
}

// Guards against object faults that have no effect, exceed their count or affect other objects.
TEST(processes_standins, platform_corrupts_the_configured_number_of_objects) {
    CHECK(system.http().put(system.platform(), "/objects/chunks/x", "abcdefgh"));
    CHECK(system.http().put(system.platform(), "/objects/manifests/x", "abcdefgh"));
    auto const original = read("/objects/chunks/x")->body;
    CHECK(system.set_faults({{"truncate_objects", 1}, {"only_objects", "chunks/"}}));
    CHECK(original == read("/objects/manifests/x")->body);
    UNSIGNED_LONGS_EQUAL(original.size() / 2, read("/objects/chunks/x")->body.size());
    CHECK(original == read("/objects/chunks/x")->body);
    CHECK(system.set_faults({{"corrupt_objects", 1}}));
    auto const changed = read("/objects/chunks/x")->body;
    CHECK(original != changed);
    UNSIGNED_LONGS_EQUAL(original.size(), changed.size());
    CHECK(original == read("/objects/chunks/x")->body);
}

// Guards against a simulated lost answer where the target hangs or does not run the request.
TEST(processes_standins, target_closes_the_connection_after_the_work) {
    auto& target = system.add_target(system.add_node());
    CHECK(system.set_behaviour(target, {{"lose_answers", 1}, {"service_time_ms", 0}}));
    http_request request{"POST", "/refunds", {{"X-Test-Id", "lost"}}, "{}"};
    auto const outcome = system.http().exchange(target.address, request);
    auto const* lost = std::get_if<exchange_failure>(&outcome);
    CHECK(lost != nullptr);
    // A target that hangs would cause a timeout at the caller instead.
    STRCMP_CONTAINS("end of stream", lost->reason.message.c_str());
    auto const counts = system.http().get(target.address, "/admin/executed");
    CHECK(counts.at("executions").at("lost") == json::value(1));
    UNSIGNED_LONGS_EQUAL(200, status_of(system.http().call(target.address, request)));
}

// Guards against a test harness that leaks processes or reports a wrong exit status.
TEST(processes_standins, processes_end_with_the_expected_status) {
    auto& node = system.add_node();
    auto& target = system.add_target(node);
    target.process->send(SIGTERM);
    LONGS_EQUAL(0, target.process->exit_code().value_or(-1));
    node.process->send(SIGSTOP);
    node.process->end();
    LONGS_EQUAL(128 + SIGKILL, node.process->exit_code().value_or(-1));
    auto const admin = node.admin;
    system.restart(node);
    CHECK(admin == node.admin);
    CHECK(wait_until([&] { return system.status(node).is_object(); }));
}
