#include "http/byte_budget.h"
#include "http/byte_draw.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace peridot;

namespace {

constexpr std::size_t bound = 8'000'000;
constexpr std::size_t large = 3'000'000;
// A body that may use the part of the bound that is left for small ones.
constexpr std::size_t small = 10'000;

} // namespace

// Decisions about bodies of clients that send many large ones at once and stop short of the end.
TEST_GROUP(byte_budget) {
    byte_budget budget{bound};
    std::vector<std::string> evicted;
    steady_time now = steady_time(seconds(100));

    std::unique_ptr<byte_draw> draw(std::string const& name, std::string const& address) {
        return std::make_unique<byte_draw>(this->budget, address,
                                           [this, name] { this->evicted.push_back(name); });
    }
};

// Guards against bytes that stay drawn after their body has gone.
TEST(byte_budget, bytes_are_given_back) {
    {
        auto const first = draw("first", "a");
        CHECK(first->grow_to(large, now));
        UNSIGNED_LONGS_EQUAL(large, budget.used());
    }
    UNSIGNED_LONGS_EQUAL(0, budget.used());
}

// Guards against large bodies that take the room of ordinary requests.
TEST(byte_budget, body_without_room_is_refused_and_small_ones_have_room) {
    auto const first = draw("first", "a");
    auto const second = draw("second", "a");
    auto const third = draw("third", "a");
    CHECK(first->grow_to(large, now));
    CHECK(second->grow_to(large, now));
    CHECK_FALSE(third->grow_to(large, now));
    CHECK(third->grow_to(small, now));
    UNSIGNED_LONGS_EQUAL(2 * large + small, budget.used());
    CHECK(evicted.empty());
}

// Guards against clients that stop short of the end of their bodies and keep others out.
TEST(byte_budget, longest_stalled_body_is_evicted_first) {
    auto const first = draw("first", "a");
    auto const second = draw("second", "a");
    auto const third = draw("third", "a");
    CHECK(first->grow_to(large, now));
    CHECK(second->grow_to(large, now + milliseconds(1)));
    CHECK(third->grow_to(large, now + seconds(5)));
    UNSIGNED_LONGS_EQUAL(1, evicted.size());
    STRCMP_EQUAL("first", evicted.front().c_str());
    CHECK_FALSE(first->grow_to(large + 1, now + seconds(5)));
    UNSIGNED_LONGS_EQUAL(2 * large, budget.used());
}

// Guards against one address that holds the whole budget with bodies that make progress.
TEST(byte_budget, address_that_holds_most_gives_way_to_others) {
    auto const first = draw("first", "a");
    auto const second = draw("second", "a");
    auto const other = draw("other", "b");
    CHECK(first->grow_to(large, now));
    CHECK(second->grow_to(large + 1, now));
    CHECK(other->grow_to(large, now));
    UNSIGNED_LONGS_EQUAL(1, evicted.size());
    STRCMP_EQUAL("second", evicted.front().c_str());
    // Now both addresses hold the same.
    auto const third = draw("third", "a");
    CHECK_FALSE(third->grow_to(large, now));
}

// Guards against a request that is dropped after it was passed on.
TEST(byte_budget, complete_bodies_are_not_evicted) {
    auto const first = draw("first", "a");
    auto const second = draw("second", "a");
    auto const third = draw("third", "b");
    CHECK(first->grow_to(large, now));
    CHECK(second->grow_to(large, now));
    first->keep();
    second->keep();
    CHECK_FALSE(third->grow_to(large, now + seconds(5)));
    CHECK(evicted.empty());
}

// Guards against a refusal where no bound is set.
TEST(byte_budget, draws_without_a_bound_are_only_counted) {
    byte_budget const unbounded;
    byte_draw first(unbounded, "a");
    CHECK(first.grow_to(100 * bound, now));
    UNSIGNED_LONGS_EQUAL(100 * bound, unbounded.used());
}
