#include "mesh/node_search.h"

#include "mesh/fleet_view.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace peridot;

TEST_GROUP(node_search) {
    node_search search{"10.0.0.1", "a"};
    random_source random{3};
    fleet_view view;

    void add_member(std::string const& ip, std::string const& zone) {
        member known;
        known.instance = ip;
        known.ip = ip;
        known.availability_zone = zone;
        this->view.members["deposits"].push_back(known);
    }
};

// Guards against a node that asks itself, and against a question to nobody.
TEST(node_search, own_address_is_not_asked) {
    search.add_contact("10.0.0.1");
    add_member("10.0.0.1", "a");
    CHECK_FALSE(search.next(&view, random).has_value());
    CHECK_FALSE(search.next(nullptr, random).has_value());
}

// Guards against questions that stay in an availability zone which is cut off as a whole.
TEST(node_search, some_questions_leave_the_availability_zone) {
    add_member("10.0.0.2", "a");
    add_member("10.0.1.2", "b");
    search.add_contact("10.0.0.2");
    search.add_contact("10.0.1.2");
    std::multiset<std::string> asked;
    for (int question = 0; question < 100; ++question) {
        asked.insert(search.next(&view, random).value_or("none"));
    }
    CHECK(asked.count("10.0.0.2") >= 75);
    CHECK(asked.count("10.0.1.2") >= 1);
    UNSIGNED_LONGS_EQUAL(0, asked.count("none"));
}
