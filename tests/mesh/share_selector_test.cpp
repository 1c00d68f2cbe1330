#include "mesh/share_selector.h"

#include "mesh/mesh_route.h"

#include <CppUTest/TestHarness.h>

using namespace peridot;

TEST_GROUP(share_selector) {
    share_selector selector;

    int count_of(std::string const& version, std::map<std::string, double> const& shares,
                 int requests) {
        int count = 0;
        for (int round = 0; round < requests; ++round) {
            count += this->selector.choose_version("deposits", shares) == version ? 1 : 0;
        }
        return count;
    }
};

// Guards against a bad version that gets more than its share by chance before it is judged.
TEST(share_selector, small_share_is_exact_from_the_first_request) {
    std::map<std::string, double> const shares{{"v1", 0.98}, {"v2", 0.02}};
    LONGS_EQUAL(1, count_of("v2", shares, 50));
    LONGS_EQUAL(2, count_of("v2", shares, 100));
}

// Guards against a weighted route whose services deviate from their weights.
TEST(share_selector, services_of_a_route_match_their_weights) {
    mesh_route route;
    route.name = "refund";
    route.services = {{"payouts", 90}, {"deposits", 10}};
    int deposits_count = 0;
    for (int round = 0; round < 200; ++round) {
        deposits_count += selector.choose_service(route) == "deposits" ? 1 : 0;
    }
    LONGS_EQUAL(20, deposits_count);
}
