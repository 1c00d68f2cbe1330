#include "quotas/quota_account.h"
#include "quotas/quota_message.h"
#include "quotas/quota_pool.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace peridot;

namespace {

constexpr quota_key bakery = 17;
boot_time const start{std::chrono::hours(1)};

boot_time after(milliseconds time) {
    return start + time;
}

} // namespace

TEST_GROUP(quota_pool) {
    quota_pool pool;

    void setup() override {
        pool.set_terms({{bakery, {10, 20}}});
        pool.set_node_count(2, start);
    }

    unsigned lend_all(boot_time now) {
        return this->pool.lend(bakery, 1000, now).tokens;
    }
};

// Guards against a pool that lends the shares of nodes that have not delegated them.
TEST(quota_pool, lends_only_delegated_shares) {
    UNSIGNED_LONGS_EQUAL(0, lend_all(after(seconds(1))));
    pool.delegate("a", after(seconds(4)), after(seconds(1)));
    UNSIGNED_LONGS_EQUAL(5, lend_all(after(seconds(2))));
    pool.delegate("b", after(seconds(4)), after(seconds(2)));
    UNSIGNED_LONGS_EQUAL(10, lend_all(after(seconds(3))));
    lend_all(after(seconds(4)));
    UNSIGNED_LONGS_EQUAL(0, lend_all(after(seconds(9))));
}

// Guards against shares that accrue beyond their delegation while the pool's process is suspended.
TEST(quota_pool, delegations_end_during_a_suspension) {
    lend_all(start);
    pool.delegate("a", after(seconds(1)), start);
    CHECK(lend_all(after(seconds(60))) <= 5);
}

// Guards against a burst that grows while nobody asks.
TEST(quota_pool, holds_no_more_than_the_delegated_part_of_the_burst) {
    lend_all(start);
    pool.delegate("a", after(seconds(60)), start);
    UNSIGNED_LONGS_EQUAL(10, lend_all(after(seconds(60)) - milliseconds(1)));
}

// Guards against refused requests that are all told to return at the same moment.
TEST(quota_pool, refused_requests_return_in_turn) {
    lend_all(start);
    pool.delegate("a", after(seconds(60)), start);
    milliseconds earlier{0};
    for (int request = 0; request < 5; ++request) {
        auto const grant = pool.lend(bakery, 1, start);
        UNSIGNED_LONGS_EQUAL(0, grant.tokens);
        CHECK(grant.retry_after >= earlier + milliseconds(199));
        earlier = grant.retry_after;
    }
}

// Guards against a lower quota that counts only after the stored tokens of the higher one.
TEST(quota_pool, lower_quota_counts_at_once) {
    lend_all(start);
    pool.delegate("a", after(seconds(60)), start);
    pool.set_terms({{bakery, {10, 2}}});
    UNSIGNED_LONGS_EQUAL(1, lend_all(after(seconds(30))));
}

// Guards against a refusal of the first request of each workspace that is seldom used.
TEST(quota_pool, tokens_accrue_before_the_first_request) {
    pool.delegate("a", after(seconds(60)), start);
    pool.delegate("b", after(seconds(60)), start);
    UNSIGNED_LONGS_EQUAL(10, lend_all(after(seconds(1))));
}

// Guards against a burst that is lent twice: by the pool that saved it up before its shares ended,
// and meanwhile by another one.
TEST(quota_pool, burst_is_not_kept_while_the_shares_are_elsewhere) {
    lend_all(start);
    pool.delegate("a", after(seconds(10)), start);
    pool.delegate("b", after(seconds(10)), start);
    pool.delegate("a", after(seconds(60)), after(seconds(20)));
    pool.delegate("b", after(seconds(60)), after(seconds(20)));
    CHECK(lend_all(after(seconds(20))) <= 1);
}

TEST_GROUP(quota_account) {
    quota_account account;

    void setup() override {
        account.set_terms({{bakery, {100, 100}}});
        account.set_node_count(10, start);
    }

    unsigned take_all(boot_time now) {
        unsigned taken = 0;
        while (this->account.try_take(bakery, now)) {
            ++taken;
        }
        return taken;
    }
};

// Guards against a share that is used by its node and by a pool at the same time.
TEST(quota_account, delegated_share_is_not_used) {
    take_all(start);
    account.set_delegated_until(after(seconds(1)), start);
    UNSIGNED_LONGS_EQUAL(0, take_all(after(milliseconds(999))));
    UNSIGNED_LONGS_EQUAL(5, take_all(after(milliseconds(1500))));
}

// Guards against a burst that is admitted twice: by the node's own share and by the pool.
TEST(quota_account, own_tokens_end_with_a_delegation) {
    take_all(start);
    account.set_delegated_until(after(milliseconds(2500)), after(milliseconds(2000)));
    UNSIGNED_LONGS_EQUAL(0, take_all(after(milliseconds(2500))));
    UNSIGNED_LONGS_EQUAL(5, take_all(after(milliseconds(3000))));
}

// Guards against a workspace whose first request finds what the share has saved up before an
// earlier delegation.
TEST(quota_account, first_request_finds_no_tokens_from_before_a_delegation) {
    account.set_delegated_until(after(milliseconds(2500)), after(milliseconds(2000)));
    UNSIGNED_LONGS_EQUAL(0, take_all(after(milliseconds(2500))));
}

// Guards against lent tokens that are used after their time, for example after a suspension.
TEST(quota_account, lent_tokens_expire) {
    account.set_delegated_until(after(seconds(60)), start);
    account.add(bakery, 3, after(milliseconds(400)));
    account.add(bakery, 2, after(milliseconds(200)));
    UNSIGNED_LONGS_EQUAL(3, take_all(after(milliseconds(300))));
    account.add(bakery, 3, after(milliseconds(400)));
    UNSIGNED_LONGS_EQUAL(0, take_all(after(milliseconds(400))));
}

// Guards against tokens that are lost with requests that found no target.
TEST(quota_account, unused_token_is_given_back_until_it_expires) {
    account.set_delegated_until(after(seconds(60)), start);
    account.add(bakery, 1, after(milliseconds(400)));
    auto const token = account.try_take(bakery, start);
    CHECK(token.has_value());
    account.give_back(bakery, *token, after(milliseconds(100)));
    UNSIGNED_LONGS_EQUAL(1, take_all(after(milliseconds(100))));
    account.give_back(bakery, *token, after(milliseconds(400)));
    UNSIGNED_LONGS_EQUAL(0, take_all(after(milliseconds(400))));
}

TEST_GROUP(quota_message){};

// Guards against fields that are lost on the way, and against datagrams above the limit.
TEST(quota_message, survives_encoding) {
    quota_message sent{"instance-1", 1ULL << 60, 3, milliseconds(1000), true, {}};
    for (std::size_t entry = 0; entry < max_quota_entries; ++entry) {
        sent.entries.push_back({~quota_key{entry}, 100'000, milliseconds(60'000)});
    }
    auto const bytes = encode_quota_message(sent);
    CHECK(bytes.size() < 1100);
    auto const read = decode_quota_message(bytes);
    CHECK(is_ok(read));
    STRCMP_EQUAL("instance-1", value(read).instance.c_str());
    CHECK(value(read).sequence == sent.sequence);
    UNSIGNED_LONGS_EQUAL(3, value(read).pool);
    CHECK(value(read).delegated == sent.delegated);
    CHECK(value(read).is_answer);
    UNSIGNED_LONGS_EQUAL(max_quota_entries, value(read).entries.size());
    CHECK(value(read).entries.back().workspace == sent.entries.back().workspace);
}

// Guards against arbitrary datagrams that end the process or grant tokens without bound.
TEST(quota_message, arbitrary_bytes_are_refused_or_in_range) {
    constexpr unsigned seed = 4711;
    std::mt19937 random(seed);
    auto const original =
        encode_quota_message({"instance-1", 7, 1, milliseconds(1000), false, {{1, 2, {}}}});
    for (int round = 0; round < 5000; ++round) {
        auto bytes = original;
        for (int change = 0; change < 3; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        auto const read = decode_quota_message(bytes);
        if (is_ok(read)) {
            CHECK(value(read).delegated <= seconds(60));
            CHECK(value(read).entries.size() <= max_quota_entries);
        }
    }
}
