#include "mesh/fallback_peer_selector.h"

#include "mesh/fleet_view.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace peridot;

TEST_GROUP(fallback_peer_selector) {
    fallback_peer_selector selector{"10.0.0.1", "a"};
    random_source random{3};
    fleet_view view;

    void add_member(std::string const& ip, std::string const& zone) {
        member entry;
        entry.instance = ip;
        entry.ip = ip;
        entry.availability_zone = zone;
        this->view.members["deposits"].push_back(entry);
    }
};

// Guards against a node that selects itself, and against a selection while no node is known.
TEST(fallback_peer_selector, local_address_is_never_selected) {
    selector.add_contact("10.0.0.1");
    add_member("10.0.0.1", "a");
    CHECK_FALSE(selector.next(&view, random).has_value());
    CHECK_FALSE(selector.next(nullptr, random).has_value());
}

// Guards against requests that all stay within an availability zone that is partitioned as a whole.
TEST(fallback_peer_selector, some_requests_leave_the_availability_zone) {
    add_member("10.0.0.2", "a");
    add_member("10.0.1.2", "b");
    selector.add_contact("10.0.0.2");
    selector.add_contact("10.0.1.2");
    std::multiset<std::string> selected;
    for (int request = 0; request < 100; ++request) {
        selected.insert(selector.next(&view, random).value_or("none"));
    }
    CHECK(selected.count("10.0.0.2") >= 75);
    CHECK(selected.count("10.0.1.2") >= 1);
    UNSIGNED_LONGS_EQUAL(0, selected.count("none"));
}
