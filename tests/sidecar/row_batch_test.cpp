#include "core/time.h"
#include "sidecar/row_batch.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <future>
#include <map>
#include <string>

using namespace peridot;

// A store with one table, and the calls that it gets.
TEST_GROUP(row_batch) {
    boost::asio::io_context context;
    std::map<std::string, std::uint64_t> revisions;
    std::vector<std::size_t> calls;
    bool is_available = true;
    row_batch batch{
        context, [this](std::vector<replica_row> rows) { return this->commit(std::move(rows)); }};

    boost::asio::awaitable<commit_outcome> commit(std::vector<replica_row> rows) {
        this->calls.push_back(rows.size());
        if (!this->is_available) {
            co_return error{result_code::platform_unavailable, "the store is out"};
        }
        bool const is_met = std::ranges::all_of(rows, [this](replica_row const& row) {
            return this->revisions[row.key] == row.revision;
        });
        if (!is_met) {
            co_return commit_conflict{};
        }
        auto const revision = this->calls.size();
        for (auto const& row : rows) {
            this->revisions[row.key] = revision;
        }
        co_return commit_done{revision, milliseconds(1)};
    }

    std::future<commit_outcome> write(std::string const& key, std::uint64_t revision) {
        std::vector<replica_row> rows;
        rows.push_back({"table", key, "value", revision, false});
        return boost::asio::co_spawn(this->context, this->batch.write(std::move(rows)),
                                     boost::asio::use_future);
    }

    // Requests one row of each key at the same time and returns the outcomes.
    std::vector<commit_outcome> write_all(
        std::vector<std::pair<std::string, std::uint64_t>> const& rows) {
        std::vector<std::future<commit_outcome>> pending;
        for (auto const& [key, revision] : rows) {
            pending.push_back(this->write(key, revision));
        }
        this->context.restart();
        this->context.run();
        std::vector<commit_outcome> outcomes;
        for (auto& outcome : pending) {
            outcomes.push_back(outcome.get());
        }
        return outcomes;
    }

    template<typename Kind>
    static std::size_t count(std::vector<commit_outcome> const& outcomes) {
        return static_cast<std::size_t>(std::ranges::count_if(
            outcomes, [](auto const& outcome) { return std::holds_alternative<Kind>(outcome); }));
    }
};

// Guards against as many calls to the store as targets that change at the same time.
TEST(row_batch, transactions_of_the_same_moment_take_one_call) {
    auto const outcomes = write_all({{"a", 0}, {"b", 0}, {"c", 0}});
    UNSIGNED_LONGS_EQUAL(3, count<commit_done>(outcomes));
    UNSIGNED_LONGS_EQUAL(1, calls.size());
    UNSIGNED_LONGS_EQUAL(3, calls.front());
}

// Guards against a node whose record is not written because that of another node has changed.
TEST(row_batch, conflict_of_one_transaction_fails_no_other) {
    revisions["b"] = 7;
    auto const outcomes = write_all({{"a", 0}, {"b", 0}, {"c", 0}});
    CHECK(std::holds_alternative<commit_done>(outcomes[0]));
    CHECK(std::holds_alternative<commit_conflict>(outcomes[1]));
    CHECK(std::holds_alternative<commit_done>(outcomes[2]));
    UNSIGNED_LONGS_EQUAL(7, revisions["b"]);
}

// Guards against two versions of a row in one call, of which the store would take either.
TEST(row_batch, row_occurs_once_in_a_call) {
    auto const outcomes = write_all({{"a", 0}, {"a", 1}});
    UNSIGNED_LONGS_EQUAL(2, count<commit_done>(outcomes));
    UNSIGNED_LONGS_EQUAL(2, calls.size());
}

// Guards against a call that exceeds the store's limit of entries.
TEST(row_batch, large_batches_are_divided) {
    std::vector<std::pair<std::string, std::uint64_t>> rows;
    for (int index = 0; index < 95; ++index) {
        rows.emplace_back("row-" + std::to_string(index), 0);
    }
    UNSIGNED_LONGS_EQUAL(95, count<commit_done>(write_all(rows)));
    CHECK(std::ranges::all_of(calls, [](std::size_t size) { return size <= 50; }));
    CHECK(calls.size() <= 4);
}

// Guards against a transaction that counts as written although the store was out, and against a
// batch that takes no more transactions after a failure.
TEST(row_batch, failure_of_the_store_is_reported_to_all) {
    is_available = false;
    UNSIGNED_LONGS_EQUAL(2, count<error>(write_all({{"a", 0}, {"b", 0}})));
    UNSIGNED_LONGS_EQUAL(1, calls.size());
    is_available = true;
    UNSIGNED_LONGS_EQUAL(2, count<commit_done>(write_all({{"a", 0}, {"b", 0}})));
}
