#include "limits/limit_divider.h"
#include "limits/limit_message.h"
#include "limits/local_limiter.h"
#include "limits/max_min_division.h"
#include "limits/token_bucket.h"

#include "core/random_source.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <cmath>
#include <limits>
#include <numeric>
#include <thread>

using namespace peridot;

namespace {

steady_time const start{std::chrono::hours(1)};

} // namespace

TEST_GROUP(token_bucket){};

// Guards against a time that exceeds 64 bits, and against tokens that a node gains, while its share
// is tiny for a moment: on aarch64 the sum overflowed.
TEST(token_bucket, tiny_share_gives_no_tokens_when_it_grows_again) {
    bucket_bounds const usual{milliseconds(1), 10.0};
    bucket_bounds const tiny{nanoseconds::max(), 4.0};
    token_bucket bucket;
    for (int token = 0; token < 10; ++token) {
        CHECK_FALSE(bucket.try_take(usual, start).has_value());
    }
    bucket.convert(usual, tiny, start);
    CHECK(bucket.try_take(tiny, start).has_value());
    bucket.convert(tiny, usual, start);
    CHECK(bucket.try_take(usual, start).has_value());
}

TEST_GROUP(limit_message){};

// Guards against datagrams that fragment, and against entries lost between them.
TEST(limit_message, many_limits_travel_in_few_small_datagrams) {
    limit_message message{"instance-eu-west-0123", 77, 5, {}, {}};
    for (std::uint64_t key = 0; key < 200; ++key) {
        message.demands.push_back({key, 12.5, 3, 2, (1ULL << 40U) + key, 10.0, 4, seconds(2)});
        message.shares.push_back({key, (1ULL << 40U) + key, 11.0, 2.0, 4, seconds(3)});
    }
    auto const datagrams = encode_limit_message(message);
    CHECK_TRUE(datagrams.size() <= 16);
    std::vector<limit_demand> demands;
    std::vector<limit_share> shares;
    for (std::size_t index = 0; index < datagrams.size(); ++index) {
        CHECK_TRUE(datagrams[index].size() <= largest_limit_datagram);
        auto const read = decode_limit_message(datagrams[index]);
        CHECK_EQUAL(5 + index, value(read).sequence);
        demands.insert(demands.end(), value(read).demands.begin(), value(read).demands.end());
        shares.insert(shares.end(), value(read).shares.begin(), value(read).shares.end());
    }
    CHECK_EQUAL(200U, demands.size());
    CHECK_EQUAL(200U, shares.size());
    CHECK_EQUAL(199U, demands.back().key);
    CHECK_EQUAL(2U, demands.back().weight);
    CHECK_TRUE(shares.back().duration == seconds(3));
}

// Guards against hostile or damaged datagrams that crash a node or enter the division.
TEST(limit_message, malformed_bytes_are_refused) {
    limit_message message{"node", 1, 1, {{1, 2.0, 3}}, {}};
    auto const good = encode_limit_message(message).at(0);
    CHECK_TRUE(is_ok(decode_limit_message(good)));
    for (std::size_t length = 0; length < good.size(); ++length) {
        auto const read = decode_limit_message(std::string_view(good).substr(0, length));
        CHECK_TRUE(!is_ok(read) || value(read).demands.empty());
    }
    CHECK_FALSE(is_ok(decode_limit_message("")));
    CHECK_FALSE(is_ok(decode_limit_message(std::string(5000, 'x'))));
    for (double const rate : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity(), 1e12}) {
        message.demands[0].rate = rate;
        CHECK_FALSE(is_ok(decode_limit_message(encode_limit_message(message).at(0))));
    }
    random_source random(9);
    for (int round = 0; round < 20000; ++round) {
        auto bytes = good;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        auto const read = decode_limit_message(bytes);
        if (is_ok(read)) {
            for (auto const& demand : value(read).demands) {
                CHECK_TRUE(demand.rate >= 0.0 && demand.rate <= 1e9 && demand.weight > 0);
            }
        }
    }
}

TEST_GROUP(max_min_division){};

// Guards against a greedy node that takes what modest ones need, and against lost parts.
TEST(max_min_division, small_demands_are_met_and_the_rest_is_divided_by_weight) {
    auto const parts = divide(100.0, {{10.0, 1.0}, {500.0, 1.0}, {500.0, 2.0}});
    DOUBLES_EQUAL(10.0, parts[0], 1e-9);
    DOUBLES_EQUAL(30.0, parts[1], 1e-9);
    DOUBLES_EQUAL(60.0, parts[2], 1e-9);
    auto const spare = divide(100.0, {{10.0, 1.0}, {30.0, 1.0}});
    DOUBLES_EQUAL(25.0, spare[0], 1e-9);
    DOUBLES_EQUAL(75.0, spare[1], 1e-9);
}

// Guards against a concurrency limit below the number of nodes that nobody gets.
TEST(max_min_division, whole_parts_sum_to_the_total) {
    auto const parts = divide_whole(10, std::vector<division_demand>(15, {3.0, 1.0}));
    CHECK_EQUAL(10U, std::accumulate(parts.begin(), parts.end(), 0U));
    auto const uneven = divide_whole(7, {{1.0, 1.0}, {2.0, 1.0}, {90.0, 1.0}});
    CHECK_EQUAL(7U, std::accumulate(uneven.begin(), uneven.end(), 0U));
    CHECK_EQUAL(1U, uneven[0]);
}

TEST_GROUP(local_limiter){};

// Guards against two workers that admit the same token or the same place.
TEST(local_limiter, workers_together_stay_within_burst_and_concurrency) {
    local_limiter limiter(1, {.rate_per_second = 1.0, .burst = 500.0, .concurrency = 20}, {1, 1});
    std::atomic<int> admitted{0};
    std::atomic<int> running{0};
    std::atomic<int> most{0};
    std::vector<std::thread> workers;
    for (int worker = 0; worker < 4; ++worker) {
        workers.emplace_back([&] {
            for (int request = 0; request < 1000; ++request) {
                if (std::holds_alternative<limit_permit>(limiter.try_admit(start))) {
                    int const now = ++running;
                    int seen = most.load();
                    while (seen < now && !most.compare_exchange_weak(seen, now)) {
                    }
                    ++admitted;
                    --running;
                    limiter.release();
                }
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    CHECK_EQUAL(500, admitted.load());
    CHECK_TRUE(most.load() <= 20);
}

// Guards against refusals that do not say which limit it was and when to return.
TEST(local_limiter, refusals_name_the_limit_and_the_wait) {
    local_limiter limiter(1, {.rate_per_second = 10.0, .burst = 2.0, .concurrency = 2}, {1, 1});
    limiter.try_admit(start);
    limiter.try_admit(start);
    auto const third = std::get<limit_refusal>(limiter.try_admit(start));
    CHECK_TRUE(third.kind == limit_kind::concurrency);
    limiter.release();
    auto const fourth = std::get<limit_refusal>(limiter.try_admit(start));
    CHECK_TRUE(fourth.kind == limit_kind::rate);
    CHECK_TRUE(fourth.retry_after == milliseconds(100));
    CHECK_TRUE(std::holds_alternative<limit_permit>(limiter.try_admit(start + milliseconds(100))));
}

// Guards against an old share that arrives late and undoes a smaller one already confirmed.
TEST(local_limiter, an_older_lease_is_ignored) {
    local_limiter limiter(1, {.rate_per_second = 1000.0, .burst = 1.0, .concurrency = 9}, {1, 1});
    limiter.apply({1, 8, 10.0, 1.0, 3, seconds(3)}, "divider", start);
    limiter.apply({1, 7, 900.0, 1.0, 9, seconds(3)}, "divider", start);
    limiter.try_admit(start + milliseconds(1));
    limiter.measure(start);
    limiter.measure(start + milliseconds(1));
    DOUBLES_EQUAL(10.0, limiter.due_report(start + milliseconds(1))->held_rate, 0.01);
}

TEST_GROUP(limit_divider){};

// Guards against reports that arrive late, against keys divided in two places, and against
// concurrency that is leased twice.
TEST(limit_divider, old_reports_are_refused_and_concurrency_is_never_leased_twice) {
    limit_divider divider({}, 0);
    limit_demand const demand{5, 100.0, 8};
    CHECK_TRUE(failure(divider.report({"a", 1}, 1, demand, {2, 2}, start)).code ==
               result_code::contract_not_found);
    divider.set_quota(5, {100.0, 10.0, 8}, start);
    auto now = start + seconds(4);
    auto const first = divider.report({"a", 1}, 2, demand, {2, 2}, now);
    CHECK_EQUAL(8U, value(first).concurrency);
    CHECK_TRUE(failure(divider.report({"a", 1}, 1, demand, {2, 2}, now)).code ==
               result_code::member_superseded);
    CHECK_EQUAL(0U, value(divider.report({"b", 1}, 1, demand, {2, 2}, now)).concurrency);
    // Node a is told to give up half; b gets it only after a has said that it did.
    now += milliseconds(200);
    auto const pushed = divider.rebalance({2, 2}, now);
    CHECK_EQUAL(1U, pushed.size());
    CHECK_EQUAL(4U, pushed[0].share.concurrency);
    CHECK_EQUAL(0U, value(divider.report({"b", 1}, 2, demand, {2, 2}, now)).concurrency);
    auto confirmed = demand;
    confirmed.held_lease = pushed[0].share.lease;
    divider.report({"a", 1}, 3, confirmed, {2, 2}, now);
    CHECK_EQUAL(4U, value(divider.report({"b", 1}, 3, demand, {2, 2}, now)).concurrency);
}
