#include "processes/support/fleet.h"
#include "processes/support/wait_until.h"

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

#include <csignal>
#include <map>
#include <set>

using namespace peridot;
using namespace peridot::processes;
namespace json = boost::json;

TEST_GROUP(processes_distribution) {
    fleet system;
    std::uint32_t mark = 1;
    std::map<std::string, std::uint64_t> newest_reported;
    std::set<std::string> nodes_without_version;

    void add_nodes(std::size_t count) {
        for (std::size_t number = 0; number < count; ++number) {
            this->system.add_node();
        }
    }

    std::uint64_t edit() {
        contract_terms terms;
        terms.mark = this->mark++;
        return this->system.apply(terms);
    }

    void restart(node_process & node) {
        this->system.restart(node);
        this->nodes_without_version.insert(node.instance);
    }

    // Reads the node's version and checks that it is not older than an earlier one. A restarted
    // node holds no version at first (0); its first version must not be older either.
    std::uint64_t sample(node_process const& node) {
        auto const report = this->system.status(node);
        if (!report.is_object()) {
            return 0;
        }
        auto const version = report.at("version").to_number<std::uint64_t>();
        if (version == 0 && this->nodes_without_version.contains(node.instance)) {
            return 0;
        }
        this->nodes_without_version.erase(node.instance);
        auto& previous = this->newest_reported[node.instance];
        CHECK_TEXT(version >= previous, (node.instance + " reported an older version").c_str());
        previous = version;
        return version;
    }

    bool sample_until(std::uint64_t version) {
        return wait_until([&] {
            bool all_hold = true;
            for (auto const& node : this->system.nodes()) {
                all_hold &= node->process->has_ended() || this->sample(*node) >= version;
            }
            return all_hold;
        });
    }

    // Whether every running node holds the manifest of the accepted version.
    bool all_hold_the_accepted_manifest() {
        auto const head = this->system.row("head");
        for (auto const& node : this->system.nodes()) {
            if (!node->process->has_ended() &&
                this->system.status(*node).at("manifest") != head.at("manifest")) {
                return false;
            }
        }
        return true;
    }

    // Calls the node with the workspace's credential and returns its answer.
    std::optional<http_response> call(node_process const& node) {
        std::string const credential = std::string("Bearer cafe-partners.") + test_secret;
        return this->system.http().call(
            node.calls, {"GET", "/deposits/balance", {{"Authorization", credential}}, {}});
    }
};

// Guards against a node that misses an accepted version or holds different content for it.
TEST(processes_distribution, every_node_applies_every_version) {
    add_nodes(4);
    for (int round = 0; round < 5; ++round) {
        CHECK(sample_until(edit()));
        CHECK(all_hold_the_accepted_manifest());
    }
}

// Guards against a node that applies an older version, or misses the newest one, after a freeze
// across several versions.
TEST(processes_distribution, frozen_node_applies_the_newest_version) {
    add_nodes(3);
    auto const first = edit();
    CHECK(sample_until(first));
    auto& frozen = *system.nodes().back();
    frozen.process->send(SIGSTOP);
    std::uint64_t newest = 0;
    for (int round = 0; round < 3; ++round) {
        newest = edit();
        for (std::size_t number = 0; number < 2; ++number) {
            auto const& node = *system.nodes()[number];
            CHECK(wait_until([&] { return sample(node) >= newest; }));
        }
    }
    frozen.process->send(SIGCONT);
    CHECK(sample_until(newest));
    UNSIGNED_LONGS_EQUAL(first + 3, sample(frozen));
    CHECK(all_hold_the_accepted_manifest());
}

// Guards against a node that applies a chunk whose hash differs from the one in the manifest, or
// that does not retry the version.
TEST(processes_distribution, corrupt_chunks_are_refused_and_read_again) {
    add_nodes(1);
    auto& node = *system.nodes().front();
    auto const first = edit();
    CHECK(sample_until(first));
    std::size_t refused = 0;
    for (char const* fault : {"corrupt_objects", "truncate_objects"}) {
        // The node is stopped during the edit because peridotctl reads objects too.
        node.process->send(SIGSTOP);
        auto const next = edit();
        CHECK(system.set_faults({{fault, 2}, {"only_objects", "chunks/"}}));
        node.process->send(SIGCONT);
        CHECK(sample_until(next));
        refused += 2;
        // The log contains each reason once per version, so the count is read from the node's
        // report. A corrupt chunk counts twice: for the chunk, and for the version that lacks it.
        auto const refusals = system.status(node).at("refusals");
        UNSIGNED_LONGS_EQUAL(2 * refused, refusals.at("hash_mismatch").to_number<std::uint64_t>());
        CHECK(all_hold_the_accepted_manifest());
    }
}

// Guards against a node that starts during an outage and serves without a version, or that applies
// none after the outage.
TEST(processes_distribution, node_restarted_during_an_outage_waits_for_a_version) {
    add_nodes(3);
    auto const version = edit();
    CHECK(sample_until(version));
    CHECK(system.set_faults({{"outage", true}}));
    auto& node = *system.nodes().back();
    restart(node);
    CHECK(wait_until([&] { return system.status(node).is_object(); }));
    auto const answer = call(node);
    CHECK(answer.has_value());
    UNSIGNED_LONGS_EQUAL(503, answer->status);
    CHECK(answer->headers.value("Peridot-Outcome") == "not_run");
    for (std::size_t number = 0; number < 2; ++number) {
        UNSIGNED_LONGS_EQUAL(version, sample(*system.nodes()[number]));
    }
    CHECK(system.set_faults({{"outage", false}}));
    CHECK(sample_until(version));
    CHECK(all_hold_the_accepted_manifest());
}

// Guards against restarted nodes that cannot serve during an outage of the platform although their
// peers hold the version.
TEST(processes_distribution, restarted_node_fetches_its_version_from_peers_during_an_outage) {
    add_nodes(3);
    auto const version = edit();
    CHECK(sample_until(version));
    // Read before the outage, during which the platform does not answer.
    auto const accepted = system.row("head").at("manifest");
    CHECK(system.set_faults({{"outage", true}}));
    auto& node = *system.nodes().back();
    restart(node);
    CHECK(wait_until([&] {
        auto const report = system.status(node);
        return report.is_object() && report.at("is_ready").as_bool();
    }));
    UNSIGNED_LONGS_EQUAL(version, system.version_of(node));
    CHECK(system.status(node).at("manifest") == accepted);
}

// Guards against surviving nodes that apply no further versions, and against restarted nodes that
// miss the newest version or are missing from the member tables, after half of the fleet was killed
// at once.
TEST(processes_distribution, half_of_the_nodes_are_killed_and_restarted) {
    constexpr std::size_t count = 8;
    add_nodes(count);
    CHECK(sample_until(edit()));
    for (std::size_t number = 0; number < count; number += 2) {
        system.nodes()[number]->process->send(SIGKILL);
    }
    for (std::size_t number = 0; number < count; number += 2) {
        system.nodes()[number]->process->end();
    }
    CHECK(sample_until(edit()));
    auto const newest = edit();
    for (std::size_t number = 0; number < count; number += 2) {
        restart(*system.nodes()[number]);
    }
    CHECK(sample_until(newest));
    CHECK(all_hold_the_accepted_manifest());
    CHECK(wait_until([&] {
        for (auto const& node : system.nodes()) {
            auto const report = system.status(*node);
            if (!report.is_object() || report.at("members").as_array().size() != count) {
                return false;
            }
        }
        return true;
    }));
}

// Guards against a version that is lost when the nodes that read it first are killed.
TEST(processes_distribution, a_third_of_the_nodes_is_killed_during_the_distribution) {
    constexpr std::size_t count = 6;
    constexpr std::size_t killed = count / 3;
    add_nodes(count);
    CHECK(sample_until(edit()));
    // Each round kills a different third, so that the polling nodes are killed in one of them.
    for (std::size_t first = 0; first < count; first += killed) {
        auto const version = edit();
        for (std::size_t number = first; number < first + killed; ++number) {
            system.nodes()[number]->process->end();
        }
        CHECK(sample_until(version));
        for (std::size_t number = first; number < first + killed; ++number) {
            restart(*system.nodes()[number]);
        }
        CHECK(sample_until(version));
        CHECK(all_hold_the_accepted_manifest());
    }
}
