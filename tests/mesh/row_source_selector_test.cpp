#include "mesh/row_source_selector.h"

#include "mesh/fleet_view.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace peridot;

namespace {

steady_time const begin{std::chrono::hours(1)};

void add_member(fleet_view& view, std::string const& name, std::string const& zone,
                double processor_share = 0.1) {
    member created;
    created.instance = name;
    created.ip = "10.0.0." + std::to_string(view.members["deposits"].size());
    created.availability_zone = zone;
    created.processor_share = processor_share;
    view.members["deposits"].push_back(created);
}

fleet_view make_view() {
    fleet_view view;
    for (char const* zone : {"a", "b", "c"}) {
        for (int number = 0; number < 6; ++number) {
            add_member(view, std::string(zone) + "-" + std::to_string(number), zone,
                       number == 4 ? 0.5 : 0.1);
        }
    }
    return view;
}

// Returns the instance of the selected node, or "store" for the store's feed.
std::string source_of(row_source_selector const& selector, steady_time now,
                      bool is_store_unavailable = false) {
    auto const chosen = selector.choose(now, is_store_unavailable);
    auto const* peer = std::get_if<peer_source>(&chosen);
    return peer == nullptr ? "store" : peer->instance;
}

} // namespace

TEST_GROUP(row_source_selector) {
    fleet_view view = make_view();
    row_source_selector selector{"a-5", "a"};

    void setup() override {
        selector.set_members(view);
    }
};

// Guards against a number of calls to the store that grows with the number of nodes: on
// zampa-mesh-grown, each change woke 76 feeds.
TEST(row_source_selector, one_node_of_each_availability_zone_follows_the_store) {
    std::set<std::string> followers;
    for (auto const& entry : view.members["deposits"]) {
        row_source_selector each(entry.instance, entry.availability_zone);
        each.set_members(view);
        auto const source = source_of(each, begin);
        if (source == "store") {
            followers.insert(entry.instance);
        } else {
            STRCMP_EQUAL((entry.availability_zone + "-4").c_str(), source.c_str());
        }
    }
    CHECK(followers == (std::set<std::string>{"a-4", "b-4", "c-4"}));
}

// Guards against nodes that keep polling a follower that has been stopped, frozen or partitioned.
TEST(row_source_selector, next_node_replaces_an_unreachable_follower) {
    selector.observe("a-4", source_observation::unreachable, begin);
    STRCMP_EQUAL("a-0", source_of(selector, begin).c_str());
    selector.observe("a-0", source_observation::stale, begin);
    STRCMP_EQUAL("a-1", source_of(selector, begin).c_str());
    selector.observe("a-1", source_observation::unreachable, begin);
    // Three consecutive failures are not a coincidence, so the store is used and not every other
    // node in turn.
    STRCMP_EQUAL("store", source_of(selector, begin).c_str());
    STRCMP_EQUAL("a-4", source_of(selector, begin + milliseconds(1100)).c_str());
}

// Guards against repeated timeouts on an instance that is permanently gone.
TEST(row_source_selector, pause_of_an_unreachable_node_doubles) {
    selector.observe("a-4", source_observation::unreachable, begin);
    selector.observe("a-4", source_observation::unreachable, begin);
    STRCMP_EQUAL("a-0", source_of(selector, begin + milliseconds(1100)).c_str());
    selector.observe("a-4", source_observation::current, begin + milliseconds(1200));
    STRCMP_EQUAL("a-4", source_of(selector, begin + milliseconds(1200)).c_str());
}

// Guards against two nodes that wait for each other while their views of the members differ.
TEST(row_source_selector, node_with_dependents_follows_the_store) {
    selector.observe_demand(begin);
    STRCMP_EQUAL("store", source_of(selector, begin + milliseconds(1000)).c_str());
    STRCMP_EQUAL("a-4", source_of(selector, begin + milliseconds(6000)).c_str());
}

// Guards against the first node of an availability zone polling random nodes while the store does
// not serve it, although the store serves the next node (kcg-mesh scale-2).
TEST(row_source_selector, node_without_the_store_uses_the_next_node) {
    row_source_selector first("a-4", "a");
    first.set_members(view);
    STRCMP_EQUAL("a-0", source_of(first, begin, true).c_str());
    first.observe_demand(begin);
    STRCMP_EQUAL("a-0", source_of(first, begin, true).c_str());
    for (char const* name : {"a-0", "a-1", "a-2"}) {
        first.observe(name, source_observation::stale, begin);
    }
    STRCMP_EQUAL("store", source_of(first, begin, true).c_str());
}

// Guards against a search for a served node that takes one timeout per node, when the store is
// silent towards several leading nodes at once (deploy/days/store-turns-followers-away).
TEST(row_source_selector, leading_nodes_replace_a_lost_follower_together) {
    row_source_selector second("a-0", "a");
    row_source_selector third("a-1", "a");
    for (auto* each : {&second, &third}) {
        each->set_members(view);
        STRCMP_EQUAL("a-4", source_of(*each, begin).c_str());
        each->observe("a-4", source_observation::stale, begin);
        STRCMP_EQUAL("store", source_of(*each, begin).c_str());
        STRCMP_EQUAL("a-4", source_of(*each, begin + milliseconds(1600)).c_str());
    }
    selector.observe("a-4", source_observation::stale, begin);
    STRCMP_EQUAL("a-0", source_of(selector, begin).c_str());
}

// Guards against a node without known peers that waits for rows that no node sends.
TEST(row_source_selector, node_without_peers_follows_the_store) {
    row_source_selector alone("x-1", "x");
    STRCMP_EQUAL("store", source_of(alone, begin).c_str());
    alone.set_members(view);
    STRCMP_EQUAL("store", source_of(alone, begin).c_str());
}

// Guards against a follower whose connection to the store has stalled: the feed of another
// availability zone shows that its rows are outdated.
TEST(row_source_selector, revisions_are_compared_with_another_availability_zone) {
    row_source_selector last("c-4", "c");
    last.set_members(view);
    STRCMP_EQUAL("a-4", last.comparison_peer(begin)->instance.c_str());
    last.observe("a-4", source_observation::unreachable, begin);
    STRCMP_EQUAL("a-0", last.comparison_peer(begin)->instance.c_str());
}

// Guards against every node retrying an unavailable store as often as the leading nodes.
TEST(row_source_selector, first_nodes_of_an_availability_zone_are_leading) {
    CHECK(selector.role() == store_role::relying);
    row_source_selector leading("a-1", "a");
    leading.set_members(view);
    CHECK(leading.role() == store_role::leading);
}

// Guards against members that are gone but still selected as sources.
TEST(row_source_selector, gone_members_are_not_sources) {
    view.members["deposits"][4].target.state = target_state::gone;
    selector.set_members(view);
    STRCMP_EQUAL("a-0", source_of(selector, begin).c_str());
}

// Guards against calls to the store by all nodes at the first start of the fleet, when no node has
// determined yet which one follows the store (kcg-mesh-grown: a fifth of the calls of a day).
TEST(row_source_selector, zone_peers_are_taken_from_the_members) {
    CHECK(selector.has_zone_peers());
    CHECK_FALSE(row_source_selector("a-5", "a").has_zone_peers());
    row_source_selector alone("x-1", "x");
    alone.set_members(view);
    CHECK_FALSE(alone.has_zone_peers());
}
