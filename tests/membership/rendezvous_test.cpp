#include "membership/rendezvous.h"

#include <CppUTest/TestHarness.h>

#include <string>

using peridot::endpoint_directory;
using peridot::member_record;

namespace {

endpoint_directory make_directory(int count) {
    std::vector<member_record> records(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        records[static_cast<std::size_t>(index)].instance = "instance-" + std::to_string(index);
    }
    return endpoint_directory(records);
}

} // namespace

TEST_GROUP(rendezvous){};

// Guards against the removal of a member moving keys of the remaining members.
TEST(rendezvous, removing_a_member_moves_only_its_keys) {
    auto const before = make_directory(20);
    auto const after = make_directory(19);
    for (int key = 0; key < 200; ++key) {
        auto const name = "key-" + std::to_string(key);
        auto const old_choice = peridot::choose_by_rendezvous(before.members(), name, 1);
        auto const new_choice = peridot::choose_by_rendezvous(after.members(), name, 1);
        if (old_choice.front()->instance != "instance-19") {
            STRCMP_EQUAL(old_choice.front()->instance.c_str(),
                         new_choice.front()->instance.c_str());
        }
    }
}

// Guards against out-of-range access when fewer members exist than are requested.
TEST(rendezvous, fewer_members_than_requested_are_all_chosen) {
    CHECK_EQUAL(2U, peridot::choose_by_rendezvous(make_directory(2).members(), "key", 5).size());
    CHECK_EQUAL(0U, peridot::choose_by_rendezvous(make_directory(0).members(), "key", 5).size());
}
