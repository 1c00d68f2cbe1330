#include "mesh/target_selector.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

namespace {

boot_time const begin{std::chrono::hours(1)};

member make_member(std::string const& name, std::string const& zone) {
    member made;
    made.instance = name;
    made.availability_zone = zone;
    made.target.slots = 12;
    return made;
}

} // namespace

TEST_GROUP(target_selector) {
    target_selector selector{"zone-a"};
    random_source random{7};
    member near = make_member("near", "zone-a");
    member far = make_member("far", "zone-b");
    member farther = make_member("farther", "zone-c");
    std::vector<member const*> all{&near, &far, &farther};
    target_selector::attempts nothing;

    std::string chosen(boot_time now, target_selector::attempts const& so_far) {
        auto const choice = this->selector.choose(this->all, so_far, now, this->random);
        return choice ? choice->chosen->instance : "none";
    }
};

// Guards against load that leaves its availability zone without need: on kcg-mesh the bytes cost
// more than the answers are worth.
TEST(target_selector, own_availability_zone_comes_first) {
    for (int round = 0; round < 100; ++round) {
        STRCMP_EQUAL("near", chosen(begin, nothing).c_str());
    }
    // A single failure, or a wait that is still in time, is no reason to leave.
    selector.observe("near", target_observation::failed, begin);
    selector.observe_load("near", {12, 4, 12, milliseconds(200), milliseconds(300)}, begin);
    STRCMP_EQUAL("near", chosen(begin, nothing).c_str());
}

// Guards against requests that stick to a target that fails part of them while it counts as
// healthy.
TEST(target_selector, failing_target_is_left) {
    for (int round = 0; round < 20; ++round) {
        selector.observe("near", target_observation::failed, begin);
    }
    CHECK(chosen(begin, nothing) != "near");
    for (int round = 0; round < 20; ++round) {
        selector.observe("near", target_observation::succeeded, begin);
    }
    STRCMP_EQUAL("near", chosen(begin, nothing).c_str());
}

// Guards against a target that is never tried again: after all targets of a service had shed half
// of their requests for 8 s, requests kept leaving their availability zone (kcg-mesh-grown
// scale-1).
TEST(target_selector, failing_target_is_tried_again_after_a_while) {
    for (int round = 0; round < 20; ++round) {
        selector.observe("near", target_observation::failed, begin);
    }
    CHECK(chosen(begin + seconds(5), nothing) != "near");
    STRCMP_EQUAL("near", chosen(begin + seconds(20), nothing).c_str());
}

// Guards against a connection attempt for each request while an instance is gone, and against an
// instance that is never tried again.
TEST(target_selector, unreachable_member_rests_for_a_while) {
    selector.observe("near", target_observation::unreachable, begin);
    CHECK(chosen(begin + milliseconds(100), nothing) != "near");
    STRCMP_EQUAL("near", chosen(begin + milliseconds(300), nothing).c_str());
}

// Guards against requests that fail although a member that was out of reach could be back.
TEST(target_selector, last_member_is_tried_even_while_it_rests) {
    all = {&near};
    selector.observe("near", target_observation::unreachable, begin);
    STRCMP_EQUAL("near", chosen(begin + milliseconds(1), nothing).c_str());
}

// Guards against requests that wait for a full member while another one could answer in time.
TEST(target_selector, members_are_asked_for_an_answer_in_time_first) {
    target_selector::attempts so_far;
    auto first = selector.choose(all, so_far, begin, random);
    CHECK(first->limit == wait_limit::target_latency);
    so_far.busy = {"near"};
    CHECK(chosen(begin, so_far) != "near");
    so_far.busy = {"near", "far", "farther"};
    auto const last = selector.choose(all, so_far, begin, random);
    STRCMP_EQUAL("near", last->chosen->instance.c_str());
    CHECK(last->limit == wait_limit::deadline);
    so_far.excluded = {"near", "far", "farther"};
    CHECK_FALSE(selector.choose(all, so_far, begin, random).has_value());
}
