#include "configuration/service_chunk.h"
#include "core/digest.h"
#include "processes/support/fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

using namespace peridot;
using namespace peridot::processes;
namespace json = boost::json;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_conflict = 3;
constexpr int exit_unavailable = 4;
constexpr int conflict_rounds = 50;
constexpr int parallel_rounds = 25;

contract_terms terms_of(std::string workspace, std::uint32_t mark) {
    contract_terms terms;
    terms.workspace = std::move(workspace);
    terms.mark = mark;
    return terms;
}

std::uint64_t mark_of(json::value const& contract) {
    return contract.at("grants").at(0).at("limit").at("burst").to_number<std::uint64_t>();
}

std::uint64_t revision_of(fleet& system, std::string const& key) {
    auto const found = system.http().get(system.platform(), "/table/rows/" + key);
    return found.is_object() ? found.at("revision").to_number<std::uint64_t>() : 0;
}

// The mark of a workspace's contract in the accepted version, which is the one that nodes apply.
std::uint64_t accepted_mark(fleet& system, std::string const& workspace) {
    auto const manifest = system.manifest();
    auto const& entry = manifest.at("workspaces").at(workspace);
    std::string const hash(entry.at("chunk").as_string());
    return mark_of(system.object("chunks/" + hash));
}

std::uint64_t number(json::value const& field) {
    return field.to_number<std::uint64_t>();
}

// Commits a version in which the service has a different target version, as a completed move does.
void shift_target_version(fleet& system, std::string const& service, std::string const& version) {
    auto const chunk = serialize(service_chunk{service, version, {}});
    auto manifest = system.manifest();
    auto const next = system.head_version() + 1;
    manifest["version"] = next;
    manifest["services"].as_object()[service] = sha256_hex(chunk);
    auto const text = json::serialize(manifest);
    auto const hash = sha256_hex(text);
    CHECK(system.http().put(system.platform(), "/objects/chunks/" + sha256_hex(chunk),
                            json::parse(chunk)));
    CHECK(system.http().put(system.platform(), "/objects/manifests/" + hash, manifest));
    json::object const head{{"version", next}, {"manifest", hash}, {"edit", "shift"}};
    json::object const transaction{{"conditions", json::array{}},
                                   {"writes", {{{"key", "head"}, {"value", head}}}}};
    CHECK(system.http().put(system.platform(), "/table/transactions", transaction, "POST"));
}

} // namespace

TEST_GROUP(processes_edits) {
    fleet system;
};

// Guards against an edit that is applied twice, or reported as failed, because the answer to its
// transaction was lost.
TEST(processes_edits, lost_answer_creates_exactly_one_version) {
    auto const before = system.apply(terms_of("cafe-partners", 1));
    CHECK(system.set_faults({{"lose_answers", 1}}));
    auto const file = system.contract_file(terms_of("cafe-partners", 2));
    auto const outcome = system.run_tool({"contract", "apply", file});
    CHECK_TEXT(outcome.exit_code == 0, outcome.errors.c_str());
    UNSIGNED_LONGS_EQUAL(before + 1, number(outcome.output.at("version")));
    UNSIGNED_LONGS_EQUAL(before + 1, system.head_version());
    UNSIGNED_LONGS_EQUAL(before + 1, system.row_keys("versions/").size());
    UNSIGNED_LONGS_EQUAL(2, accepted_mark(system, "cafe-partners"));
}

// Guards against an edit that silently overwrites a concurrent one, and against a conflict report
// that does not name the accepted edit.
TEST(processes_edits, one_of_two_conflicting_edits_wins_each_round) {
    auto version = system.apply(terms_of("cafe-partners", 1));
    for (std::uint32_t round = 1; round <= conflict_rounds; ++round) {
        auto const base = std::to_string(revision_of(system, "contracts/cafe-partners"));
        std::uint32_t const marks[] = {2 * round, 2 * round + 1};
        std::unique_ptr<child_process> tools[2];
        for (int side = 0; side < 2; ++side) {
            auto const file = system.contract_file(terms_of("cafe-partners", marks[side]));
            tools[side] = system.start_tool({"contract", "apply", file, "--base-revision", base});
        }
        tool_outcome const outcomes[] = {fleet::finish(*tools[0]), fleet::finish(*tools[1])};
        int const winner = outcomes[0].exit_code == 0 ? 0 : 1;
        auto const& won = outcomes[winner];
        auto const& lost = outcomes[1 - winner];
        LONGS_EQUAL(0, won.exit_code);
        LONGS_EQUAL(exit_conflict, lost.exit_code);
        STRCMP_CONTAINS(won.output.at("edit").as_string().c_str(), lost.errors.c_str());
        ++version;
        UNSIGNED_LONGS_EQUAL(version, number(won.output.at("version")));
        UNSIGNED_LONGS_EQUAL(version, system.head_version());
        UNSIGNED_LONGS_EQUAL(marks[winner], accepted_mark(system, "cafe-partners"));
    }
    UNSIGNED_LONGS_EQUAL(version, system.row_keys("versions/").size());
}

// Guards against an accepted edit that is missing from a later version because a different contract
// was edited concurrently.
TEST(processes_edits, edits_of_different_contracts_are_both_accepted) {
    system.apply(terms_of("cafe-partners", 1));
    auto version = system.apply(terms_of("depot-drivers", 1));
    for (std::uint32_t round = 1; round <= parallel_rounds; ++round) {
        std::unique_ptr<child_process> tools[2];
        std::string const workspaces[] = {"cafe-partners", "depot-drivers"};
        for (int side = 0; side < 2; ++side) {
            auto const file = system.contract_file(terms_of(workspaces[side], round + 1));
            tools[side] = system.start_tool({"contract", "apply", file});
        }
        for (auto const& tool : tools) {
            auto const outcome = fleet::finish(*tool);
            CHECK_TEXT(outcome.exit_code == 0, outcome.errors.c_str());
        }
        version += 2;
        UNSIGNED_LONGS_EQUAL(version, system.head_version());
        for (auto const& workspace : workspaces) {
            UNSIGNED_LONGS_EQUAL(round + 1, accepted_mark(system, workspace));
        }
    }
}

// Guards against a revert that lowers the version, or that routes traffic to an earlier target
// version whose targets may no longer exist.
TEST(processes_edits, revert_creates_a_higher_version_and_keeps_target_versions) {
    auto const first = system.apply(terms_of("cafe-partners", 1));
    system.apply(terms_of("cafe-partners", 2));
    shift_target_version(system, "deposits", "v2");
    auto const shifted = system.manifest();
    auto const before = system.head_version();
    auto const outcome = system.run_tool({"contract", "revert", std::to_string(first)});
    CHECK_TEXT(outcome.exit_code == 0, outcome.errors.c_str());
    UNSIGNED_LONGS_EQUAL(before + 1, number(outcome.output.at("version")));
    UNSIGNED_LONGS_EQUAL(1, accepted_mark(system, "cafe-partners"));
    CHECK(system.manifest().at("services") == shifted.at("services"));
}

// Guards against nodes that apply an older version after the platform was restored from a backup,
// and against a later edit whose version is too low for the nodes to apply.
TEST(processes_edits, restored_platform_does_not_roll_nodes_back) {
    auto& node = system.add_node();
    auto const old = system.apply(terms_of("cafe-partners", 1));
    CHECK(system.all_hold(old));
    CHECK(system.http().put(system.platform(), "/admin/save/backup", nullptr, "POST"));
    std::uint64_t newest = 0;
    for (std::uint32_t mark = 2; mark <= 4; ++mark) {
        newest = system.apply(terms_of("cafe-partners", mark));
    }
    CHECK(system.all_hold(newest));
    CHECK(system.http().put(system.platform(), "/admin/restore/backup", nullptr, "POST"));
    UNSIGNED_LONGS_EQUAL(old, system.head_version());
    CHECK(wait_until([&] {
        UNSIGNED_LONGS_EQUAL(newest, system.version_of(node));
        return node.process->log().find("head_older_than_held") != std::string::npos;
    }));
    auto const next = system.apply(terms_of("cafe-partners", 9));
    UNSIGNED_LONGS_EQUAL(newest + 1, next);
    CHECK(system.all_hold(next));
    UNSIGNED_LONGS_EQUAL(next, system.version_of(node));
}

// Guards against a contract that grants routes to an undefined service.
TEST(processes_edits, unknown_service_is_rejected_and_changes_nothing) {
    auto const before = system.apply(terms_of("cafe-partners", 1));
    auto terms = terms_of("depot-drivers", 1);
    terms.service = "plants";
    terms.initial_target_version.clear();
    auto const outcome = system.run_tool({"contract", "apply", system.contract_file(terms)});
    LONGS_EQUAL(exit_failed, outcome.exit_code);
    STRCMP_EQUAL("contract_unknown_service", outcome.output.at("name").as_string().c_str());
    UNSIGNED_LONGS_EQUAL(before, system.head_version());
    UNSIGNED_LONGS_EQUAL(before, system.row_keys("versions/").size());
    CHECK(system.row("contracts/depot-drivers").is_null());
}

// Guards against an outage that is reported as a refusal of the contract, or that leaves a
// partially applied edit.
TEST(processes_edits, platform_outage_is_reported_and_changes_nothing) {
    auto const before = system.apply(terms_of("cafe-partners", 1));
    auto const file = system.contract_file(terms_of("cafe-partners", 2));
    for (char const* fault : {"outage", "silent"}) {
        CHECK(system.set_faults({{fault, true}}));
        auto const outcome = system.run_tool({"--timeout-ms", "2000", "contract", "apply", file});
        CHECK(system.set_faults({{fault, false}}));
        CHECK_EQUAL_TEXT(exit_unavailable, outcome.exit_code, outcome.errors.c_str());
        UNSIGNED_LONGS_EQUAL(before, system.head_version());
        UNSIGNED_LONGS_EQUAL(before, system.row_keys("versions/").size());
        UNSIGNED_LONGS_EQUAL(1, accepted_mark(system, "cafe-partners"));
    }
}
