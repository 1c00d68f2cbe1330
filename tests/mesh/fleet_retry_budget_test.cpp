#include "mesh/fleet_retry_budget.h"

#include "mesh/fleet_view.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace peridot;

namespace {

constexpr std::size_t nodes = 12;
constexpr fleet_retry_limit limit{0.2, 60};
boot_time const begin{std::chrono::hours(1)};

fleet_view make_view() {
    fleet_view view;
    view.members["deposits"].resize(nodes / 2);
    view.members["payouts"].resize(nodes / 2);
    return view;
}

int take_all(fleet_retry_budget& budget, std::string const& service, fleet_view const& view) {
    int taken = 0;
    while (budget.try_take(service, "balance", view, begin)) {
        ++taken;
    }
    return taken;
}

} // namespace

TEST_GROUP(fleet_retry_budget) {
    fleet_view view = make_view();
};

// Guards against retries beyond the limit of the fleet when every node uses up its own part, even
// after all nodes have been restarted.
TEST(fleet_retry_budget, sum_of_all_nodes_stays_within_the_limit) {
    int taken = 0;
    constexpr int requests = 100;
    for (int start = 0; start < 2; ++start) {
        for (std::size_t node = 0; node < nodes; ++node) {
            fleet_retry_budget budget(limit);
            for (int round = 0; round < requests / 2; ++round) {
                budget.record_request("deposits", "balance", view, begin);
                taken += budget.try_take("deposits", "balance", view, begin) ? 1 : 0;
            }
            taken += take_all(budget, "deposits", view);
        }
    }
    auto const allowed = limit.ratio * requests * static_cast<double>(nodes) + limit.reserve;
    CHECK(taken <= static_cast<int>(allowed));
    CHECK(taken > 0);
}

// Guards against a node that has read the configuration but no members yet and uses the reserve of
// the whole fleet: after all nodes were killed, each of them did.
TEST(fleet_retry_budget, no_retries_while_the_fleet_size_is_unknown) {
    fleet_retry_budget budget(limit);
    fleet_view const empty;
    budget.record_request("deposits", "balance", empty, begin);
    CHECK_FALSE(budget.try_take("deposits", "balance", empty, begin));
    auto const taken = take_all(budget, "deposits", view);
    CHECK(taken > 0);
    CHECK(taken <= static_cast<int>(limit.reserve / static_cast<double>(nodes)) + 1);
}

// Guards against failures of one service that use up the retries of another.
TEST(fleet_retry_budget, services_have_separate_budgets) {
    fleet_retry_budget budget(limit);
    take_all(budget, "deposits", view);
    CHECK(budget.try_take("payouts", "refund", view, begin));
}

// Guards against a frequent route that uses up every retry while all targets refuse a part of their
// requests, so that the requests of a route that was added get one attempt only (CONFIG, second
// report).
TEST(fleet_retry_budget, route_with_few_requests_gets_retries_beside_a_frequent_one) {
    fleet_retry_budget budget(limit);
    constexpr int rounds = 20;
    int taken = 0;
    for (int round = 0; round < rounds; ++round) {
        auto const now = begin + seconds(round);
        for (int request = 0; request < 20; ++request) {
            budget.record_request("deposits", "balance", view, now);
            budget.try_take("deposits", "balance", view, now);
        }
        budget.record_request("deposits", "added", view, now);
        taken += budget.try_take("deposits", "added", view, now) ? 1 : 0;
    }
    LONGS_EQUAL(rounds, taken);
}
