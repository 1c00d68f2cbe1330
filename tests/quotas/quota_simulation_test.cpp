#include "quota_simulation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace peridot;

namespace {

constexpr unsigned fleet_size = 89;
constexpr seconds settling{6};
// Until buckets of workspaces with little demand have filled.
constexpr seconds filling{30};

// QUOTA_SEEDS sets the number of seeds; the default keeps the default run short.
std::uint64_t seed_count() {
    auto const* given = std::getenv("QUOTA_SEEDS");
    return given == nullptr ? 2 : std::strtoull(given, nullptr, 10);
}

template<typename Play>
void play_all(char const* name, unsigned node_count, Play const& play) {
    double largest = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        quota_simulation fleet(node_count, seed);
        play(fleet);
        largest = std::max(largest, fleet.largest_use());
        CHECK_TEXT(fleet.violations() == 0,
                   (std::string(name) + " seed " + std::to_string(seed) + ": " +
                    std::to_string(fleet.largest_use()) + " of the allowed number")
                       .c_str());
    }
    std::printf("\n%s: at most %.3f of the allowed number\n", name, largest);
}

// Prints the figures over all seeds and checks them against the goals.
void check_figures(unsigned node_count) {
    double steady = 0;
    double jump = 0;
    double hot = 0;
    double messages = 0;
    double bytes = 0;
    auto const seeds = static_cast<double>(seed_count());
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        quota_simulation fleet(node_count, seed);
        fleet.run(filling);
        fleet.reset_figures();
        fleet.run(seconds(10));
        steady += fleet.refused_share() / seeds;
        hot += fleet.hot_admitted_share() / seeds;
        messages += fleet.messages_per_node_and_second() / seeds;
        bytes += fleet.bytes_per_node_and_second() / seeds;
        fleet.reset_figures();
        fleet.move_demand();
        fleet.run(seconds(2));
        jump += fleet.refused_share() / seeds;
        UNSIGNED_LONGS_EQUAL(0, fleet.violations());
    }
    std::printf("\n%u nodes: refused within the quota %.2f %% in steady state, %.2f %% after a "
                "jump; a workspace over its quota gets %.2f of it; %.1f messages and %.0f bytes a "
                "second a node\n",
                node_count, steady * 100, jump * 100, hot, messages, bytes);
    CHECK(steady < 0.01);
    CHECK(jump < 0.05);
}

} // namespace

TEST_GROUP(quota_simulation){};

// Guards against refusals of what is within the quota, in steady state and after demand has moved.
TEST(quota_simulation, serves_what_is_within_the_quota_small_fleet) {
    check_figures(12);
}

TEST(quota_simulation, serves_what_is_within_the_quota) {
    check_figures(fleet_size);
}

TEST(quota_simulation, serves_what_is_within_the_quota_large_fleet) {
    check_figures(300);
}

// Guards against tokens that are lent by a pool and its successor.
TEST(quota_simulation, holds_while_pool_nodes_are_killed) {
    play_all("killed", fleet_size, [](quota_simulation& fleet) {
        fleet.run(settling);
        for (unsigned pool = 0; pool < 4; ++pool) {
            fleet.kill(fleet.pool_node(pool));
            fleet.run(milliseconds(1500));
            fleet.restart(fleet.pool_node(pool));
            fleet.run(milliseconds(1500));
        }
    });
}

// Guards against delegations that have waited at a frozen node and count again when it resumes.
TEST(quota_simulation, holds_while_pool_nodes_are_frozen) {
    play_all("frozen", fleet_size, [](quota_simulation& fleet) {
        fleet.run(settling);
        for (unsigned pool = 0; pool < 4; ++pool) {
            fleet.set_frozen(fleet.pool_node(pool), true);
            fleet.run(milliseconds(900 + 400 * pool));
            fleet.set_frozen(fleet.pool_node(pool), false);
            fleet.run(milliseconds(1500));
        }
    });
}

// Guards against a node that uses its share while a pool still lends it.
TEST(quota_simulation, holds_while_pool_nodes_are_cut_off) {
    play_all("cut off", fleet_size, [](quota_simulation& fleet) {
        fleet.run(settling);
        for (unsigned pool = 0; pool < 4; ++pool) {
            fleet.set_cut_off(fleet.pool_node(pool), true);
            fleet.run(seconds(2));
            fleet.set_cut_off(fleet.pool_node(pool), false);
            fleet.run(seconds(1));
        }
    });
}

// Guards against shares that count at two pools each time they move. A single move is within what
// the bound allows.
TEST(quota_simulation, holds_while_pools_move_again_and_again) {
    play_all("moved", fleet_size, [](quota_simulation& fleet) {
        fleet.run(settling);
        for (int round = 0; round < 6; ++round) {
            for (unsigned pool = 0; pool < 4; ++pool) {
                fleet.set_cut_off(fleet.pool_node(pool), round % 2 == 0);
            }
            fleet.run(milliseconds(round % 2 == 0 ? 300 : 2200));
        }
    });
}

// Guards against shares that count at two pools while some nodes take the first one for silent and
// others do not.
TEST(quota_simulation, holds_while_nodes_disagree_about_the_pools) {
    play_all("disagreement", fleet_size, [](quota_simulation& fleet) {
        fleet.run(settling);
        for (int round = 0; round < 12; ++round) {
            for (unsigned pool = 0; pool < 4; ++pool) {
                fleet.break_links_to(fleet.pool_node(pool), 0.5);
            }
            fleet.run(milliseconds(300));
            fleet.mend_links();
            fleet.run(milliseconds(700));
        }
    });
}

// Guards against shares that are used by nodes and pools on both sides of a cut.
TEST(quota_simulation, holds_while_a_third_is_cut_off) {
    play_all("third cut off", fleet_size, [](quota_simulation& fleet) {
        fleet.run(settling);
        std::vector<std::size_t> cut;
        for (unsigned index = 0; index < fleet_size / 3; ++index) {
            cut.push_back(fleet.random_node());
            fleet.set_cut_off(cut.back(), true);
        }
        fleet.run(seconds(6));
        fleet.move_demand();
        fleet.run(seconds(3));
        for (auto const node : cut) {
            fleet.set_cut_off(node, false);
        }
        fleet.run(seconds(5));
    });
}

// Guards against stored tokens of a higher quota, and against a start at which shares count twice.
TEST(quota_simulation, holds_while_quotas_change) {
    play_all("changed", fleet_size, [](quota_simulation& fleet) {
        fleet.run(settling);
        fleet.scale_quotas(0.3);
        // Requests that the higher quota admitted do not count against the lower one.
        fleet.forget_admitted();
        fleet.run(settling);
        CHECK(fleet.violations() == 0);
        fleet.scale_quotas(4);
        fleet.run(settling);
    });
}
