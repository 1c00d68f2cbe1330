#include "routing/endpoint_selector.h"

#include "routing/endpoint_subset.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <map>

using namespace peridot;

namespace {

steady_time const start{std::chrono::hours(1)};

std::vector<member_record> make_records(std::size_t count, std::size_t zones,
                                        std::string const& prefix) {
    std::vector<member_record> records(count);
    for (std::size_t index = 0; index < count; ++index) {
        records[index].instance = prefix + std::to_string(index);
        records[index].availability_zone = "zone-" + std::to_string(index % zones);
        records[index].service = "payouts";
        records[index].target_version = "1";
        records[index].state = member_state::serving;
    }
    return records;
}

endpoint_directory::member_list make_members(std::size_t count, std::size_t zones = 1,
                                             std::string const& prefix = "target-") {
    return endpoint_directory(make_records(count, zones, prefix)).members();
}

constexpr attempt_observation answered{endpoint_verdict::success, std::nullopt};
constexpr attempt_observation failed{endpoint_verdict::failure, std::nullopt};

} // namespace

TEST_GROUP(endpoint_selector) {
    random_source random{5};
    endpoint_selector selector{"zone-0", {}};
    steady_time now = start;

    void use(endpoint_directory::member_list const& members) {
        this->selector.update(members, members, start);
        this->now = start + seconds(10);
    }

    void observe(member_record const& endpoint, attempt_observation const& observation,
                 int times = 1) {
        for (int index = 0; index < times; ++index) {
            this->selector.begin(endpoint, this->now);
            this->selector.finish(endpoint, observation, this->now);
        }
    }

    std::map<std::string, int> count_choices(int count) {
        std::map<std::string, int> chosen;
        for (int index = 0; index < count; ++index) {
            ++chosen[value(this->selector.choose({}, this->now, this->random))->instance];
        }
        return chosen;
    }
};

// Guards against retries on the instance that has just failed, including its new incarnations.
TEST(endpoint_selector, a_tried_instance_is_never_chosen_again) {
    auto const members = make_members(2);
    this->use(members);
    for (int index = 0; index < 100; ++index) {
        auto const next = this->selector.choose({members[0]}, this->now, this->random);
        STRCMP_EQUAL("target-1", value(next)->instance.c_str());
    }
    auto const none = this->selector.choose(members, this->now, this->random);
    CHECK_TRUE(failure(none).code == result_code::request_no_endpoint);
}

// Guards against calls that accumulate at a target with requests in flight or high pressure.
TEST(endpoint_selector, calls_avoid_endpoints_with_work_in_flight_or_recent_pressure) {
    auto const members = make_members(2);
    this->use(members);
    this->selector.begin(*members[0], this->now);
    CHECK_EQUAL(0, this->count_choices(100)["target-0"]);
    this->selector.finish(*members[0], {endpoint_verdict::success, 80}, this->now);
    CHECK_EQUAL(0, this->count_choices(100)["target-0"]);
    this->selector.set_pressure(*members[1], 5, this->now + seconds(20));
    this->now += seconds(20);
    CHECK_EQUAL(100, this->count_choices(100)["target-0"]);
}

// Guards against unnecessary cross-zone calls, and against overload of the local zone.
TEST(endpoint_selector, the_local_zone_is_preferred_and_spills_over_under_pressure) {
    auto const members = make_members(4, 2);
    this->use(members);
    auto chosen = this->count_choices(200);
    CHECK_EQUAL(200, chosen["target-0"] + chosen["target-2"]);
    this->selector.set_pressure(*members[0], 95, this->now);
    this->selector.set_pressure(*members[2], 95, this->now);
    chosen = this->count_choices(200);
    CHECK_TRUE(chosen["target-1"] + chosen["target-3"] > 150);
}

// Guards against a cold target that receives its full share of calls immediately.
TEST(endpoint_selector, a_new_endpoint_receives_a_reduced_share_during_slow_start) {
    auto const members = make_members(4);
    this->use({members[0], members[1], members[2]});
    this->selector.update(members, members, this->now);
    CHECK_TRUE(this->count_choices(1000)["target-3"] < 100);
    this->now += seconds(6);
    CHECK_TRUE(this->count_choices(1000)["target-3"] > 200);
}

// Guards against calls to a failing endpoint, and against an ejection that never ends.
TEST(endpoint_selector, a_failing_endpoint_is_ejected_probed_once_and_restored) {
    auto const members = make_members(3);
    this->use(members);
    this->observe(*members[0], failed, 5);
    CHECK_EQUAL(1U, this->selector.ejected_count(this->now));
    CHECK_EQUAL(0, this->count_choices(100)["target-0"]);
    this->now += milliseconds(1100);
    STRCMP_EQUAL("target-0",
                 value(this->selector.choose({}, this->now, this->random))->instance.c_str());
    this->selector.begin(*members[0], this->now);
    CHECK_EQUAL(0, this->count_choices(100)["target-0"]);
    this->selector.finish(*members[0], failed, this->now);
    // The second ejection lasts twice as long as the first.
    this->now += milliseconds(1100);
    CHECK_EQUAL(0, this->count_choices(100)["target-0"]);
    this->now += milliseconds(1000);
    this->observe(*members[0], answered);
    this->now += seconds(6);
    CHECK_TRUE(this->count_choices(300)["target-0"] > 50);
}

// Guards against a target that fails half of its calls but never five consecutive ones, so that the
// limit on consecutive failures does not detect it.
TEST(endpoint_selector, a_high_failure_ratio_ejects_the_endpoint) {
    auto const members = make_members(3);
    this->use(members);
    for (int index = 0; index < 15; ++index) {
        this->observe(*members[1], answered);
        this->observe(*members[1], failed);
    }
    CHECK_EQUAL(1U, this->selector.ejected_count(this->now));
}

// Guards against a partial outage that ejection turns into a full outage.
TEST(endpoint_selector, at_most_half_of_the_endpoints_are_ejected) {
    for (std::size_t const count : {1U, 2U, 3U, 10U}) {
        auto const members = make_members(count);
        endpoint_selector fresh("zone-0", {});
        this->selector = std::move(fresh);
        this->use(members);
        for (auto const& member : members) {
            this->observe(*member, failed, 50);
        }
        CHECK_EQUAL(count / 2, this->selector.ejected_count(this->now));
        CHECK_TRUE(is_ok(this->selector.choose({}, this->now, this->random)));
    }
}

// Guards against a restarted instance that inherits the ejection of its previous incarnation, and
// against late answers from a removed endpoint.
TEST(endpoint_selector, a_new_incarnation_starts_with_fresh_state) {
    auto records = make_records(2, 1, "target-");
    auto const before = endpoint_directory(records).members();
    this->use(before);
    this->selector.begin(*before[0], this->now);
    this->observe(*before[0], failed, 5);
    records[0].incarnation = 9;
    auto const after = endpoint_directory(records).members();
    this->selector.update(after, after, this->now);
    this->selector.finish(*before[0], failed, this->now);
    CHECK_EQUAL(0U, this->selector.ejected_count(this->now));
    CHECK_EQUAL(0U, this->selector.in_flight(*after[0]));
}

TEST_GROUP(endpoint_subset){};

// Guards against 860 entry nodes that exhaust the connections of 15 targets with 120 each.
TEST(endpoint_subset, no_target_exceeds_its_connection_limit_with_860_entry_nodes) {
    auto const targets = make_members(15, 3);
    auto const nodes = make_members(860, 3, "node-");
    CHECK_EQUAL(2U, subset_size(15, 860, {}));
    std::map<std::string, int> connections;
    std::size_t without_local_zone = 0;
    for (auto const& node : nodes) {
        auto const subset = choose_subset(targets, nodes, node->instance, {});
        CHECK_TRUE(!subset.empty());
        std::size_t in_local_zone = 0;
        for (auto const& target : subset) {
            ++connections[target->instance];
            in_local_zone += target->availability_zone == node->availability_zone ? 1 : 0;
        }
        without_local_zone += in_local_zone == 0 ? 1 : 0;
    }
    int max_connections = 0;
    for (auto const& [instance, count] : connections) {
        max_connections = std::max(max_connections, count);
    }
    std::printf("\nmost connections of a target: %d\n", max_connections);
    CHECK_TRUE(max_connections <= 120);
    CHECK_EQUAL(0U, without_local_zone);
}

// Guards against reconnections across the fleet when one target is removed.
TEST(endpoint_subset, a_departure_moves_few_connections) {
    auto const targets = make_members(15, 3);
    auto const nodes = make_members(200, 3, "node-");
    auto const fewer = endpoint_directory::member_list(targets.begin(), targets.end() - 1);
    std::size_t moved = 0;
    std::size_t total = 0;
    for (auto const& node : nodes) {
        auto const before = choose_subset(targets, nodes, node->instance, {});
        auto const after = choose_subset(fewer, nodes, node->instance, {});
        total += after.size();
        for (auto const& target : after) {
            moved += std::find(before.begin(), before.end(), target) == before.end() ? 1 : 0;
        }
    }
    CHECK_TRUE(moved * 4 < total);
}
