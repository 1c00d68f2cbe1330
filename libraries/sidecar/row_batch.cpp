#include "sidecar/row_batch.h"

#include "core/time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

namespace peridot {

namespace {

namespace asio = boost::asio;

// Time for further transactions to arrive; short beside the time that a target may take to be
// known.
constexpr milliseconds collection_time{40};
// A transaction of the store holds at most 100 entries, and each row takes one for its condition
// and one for its value.
constexpr std::size_t max_rows = 40;

} // namespace

class row_batch::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, write_function write_rows)
        : context(io), write_rows(std::move(write_rows)) {}

    // A transaction that waits for its outcome.
    struct transaction {
        transaction(asio::io_context& io, std::vector<replica_row> requested)
            : rows(std::move(requested)), decided(io, steady_time::max()) {}

        std::vector<replica_row> rows;
        asio::steady_timer decided;
        std::optional<commit_outcome> outcome;
    };
    using transaction_pointer = std::shared_ptr<transaction>;
    using row_keys = std::set<std::pair<std::string, std::string>>;

    static asio::awaitable<commit_outcome> write(std::shared_ptr<implementation> self,
                                                 std::vector<replica_row> rows) {
        auto const requested = std::make_shared<transaction>(self->context, std::move(rows));
        self->waiting.push_back(requested);
        if (!std::exchange(self->is_collecting, true)) {
            asio::co_spawn(self->context, collect(self), asio::detached);
        }
        while (!requested->outcome) {
            co_await requested->decided.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        co_return std::move(*requested->outcome);
    }

private:
    // Starts a call for all transactions that arrive within the collection time, until none wait.
    static asio::awaitable<void> collect(std::shared_ptr<implementation> self) {
        asio::steady_timer timer(self->context);
        while (!self->waiting.empty()) {
            timer.expires_after(collection_time);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            asio::co_spawn(self->context, execute(self, self->take_next()), asio::detached);
        }
        self->is_collecting = false;
    }

    // Removes the transactions of the next call from the queue. A row occurs once in a call.
    std::vector<transaction_pointer> take_next() {
        std::vector<transaction_pointer> taken;
        std::deque<transaction_pointer> left;
        row_keys keys;
        std::size_t row_count = 0;
        for (auto& candidate : this->waiting) {
            bool const fits = taken.empty() || row_count + candidate->rows.size() <= max_rows;
            if (fits && try_add_keys(keys, candidate->rows)) {
                row_count += candidate->rows.size();
                taken.push_back(std::move(candidate));
            } else {
                left.push_back(std::move(candidate));
            }
        }
        this->waiting = std::move(left);
        return taken;
    }

    static bool try_add_keys(row_keys& keys, std::vector<replica_row> const& rows) {
        bool const is_known = std::ranges::any_of(rows, [&keys](replica_row const& row) {
            return keys.contains({row.table, row.key});
        });
        if (is_known) {
            return false;
        }
        for (auto const& row : rows) {
            keys.emplace(row.table, row.key);
        }
        return true;
    }

    static asio::awaitable<void> execute(std::shared_ptr<implementation> self,
                                         std::vector<transaction_pointer> batch) {
        std::vector<replica_row> rows;
        for (auto const& entry : batch) {
            std::ranges::copy(entry->rows, std::back_inserter(rows));
        }
        auto const outcome = co_await self->write_rows(std::move(rows));
        bool const is_ambiguous =
            batch.size() > 1 && std::holds_alternative<commit_conflict>(outcome);
        for (auto const& entry : batch) {
            if (is_ambiguous) {
                entry->outcome = co_await self->write_rows(entry->rows);
            } else {
                entry->outcome = outcome;
            }
            entry->decided.cancel();
        }
    }

    asio::io_context& context;
    write_function write_rows;
    std::deque<transaction_pointer> waiting;
    bool is_collecting = false;
};

row_batch::row_batch(asio::io_context& context, write_function write)
    : self(std::make_shared<implementation>(context, std::move(write))) {}

row_batch::~row_batch() = default;

asio::awaitable<commit_outcome> row_batch::write(std::vector<replica_row> rows) {
    return implementation::write(this->self, std::move(rows));
}

} // namespace peridot
