#include "distribution/dead_member_removal.h"

#include "core/log.h"

#include <algorithm>
#include <set>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr std::string_view row_prefix = "members/";
constexpr milliseconds request_timeout{2000};
constexpr seconds run_period{60};
constexpr std::size_t page_rows = 100;
constexpr std::size_t most_removed_at_once = 32;

steady_time request_deadline() {
    return std::chrono::steady_clock::now() + request_timeout;
}

} // namespace

dead_member_removal::dead_member_removal(table_access rows, directory_source members, clock now)
    : table(std::move(rows)), directory(std::move(members)), current_time(std::move(now)) {}

asio::awaitable<void> dead_member_removal::run(lease held) {
    auto const now = this->current_time();
    if (held.epoch != this->epoch) {
        // What was seen under an earlier lease may be long out of date.
        this->epoch = held.epoch;
        this->absent.clear();
        this->next_run = now;
    }
    if (now < this->next_run) {
        co_return;
    }
    this->next_run = now + run_period;
    auto const rows = co_await this->read_rows();
    if (is_ok(rows)) {
        auto gone = this->choose(value(rows), now);
        if (!gone.empty()) {
            co_await this->remove(std::move(gone), std::move(held));
        }
    }
}

asio::awaitable<result<std::vector<table_row>>> dead_member_removal::read_rows() {
    std::vector<table_row> rows;
    std::string after;
    for (bool has_more = true; has_more;) {
        auto page = co_await this->table.list(std::string(row_prefix), after, page_rows,
                                              request_deadline());
        if (!is_ok(page)) {
            co_return failure(page);
        }
        has_more = value(page).has_more && !value(page).rows.empty();
        for (auto& row : value(page).rows) {
            after = row.key;
            rows.push_back(std::move(row));
        }
    }
    co_return rows;
}

std::vector<table_row> dead_member_removal::choose(std::vector<table_row> const& rows,
                                                   steady_time now) {
    std::set<std::string> live;
    auto const present = this->directory();
    for (auto const& member : present->members()) {
        live.insert(std::string(row_prefix) + member->instance);
    }
    std::map<std::string, std::pair<std::uint64_t, steady_time>> still_absent;
    std::vector<table_row> gone;
    for (auto const& row : rows) {
        if (live.contains(row.key)) {
            continue;
        }
        auto const known = this->absent.find(row.key);
        bool const is_same = known != this->absent.end() && known->second.first == row.revision;
        auto const since = is_same ? known->second.second : now;
        still_absent[row.key] = {row.revision, since};
        if (now - since >= dead_member_time && gone.size() < most_removed_at_once) {
            gone.push_back(row);
        }
    }
    this->absent = std::move(still_absent);
    bool const is_cut_off = this->absent.size() * 3 > rows.size() && this->absent.size() > 1;
    return is_cut_off ? std::vector<table_row>() : gone;
}

asio::awaitable<void> dead_member_removal::remove(std::vector<table_row> rows, lease held) {
    table_transaction transaction;
    transaction.conditions.push_back({"lease", held.revision});
    for (auto const& row : rows) {
        transaction.conditions.push_back({row.key, row.revision});
        transaction.writes.push_back({row.key, std::nullopt});
    }
    auto const outcome = co_await this->table.commit(std::move(transaction), request_deadline());
    log::write(is_ok(outcome) ? log::level::info : log::level::warning, "dead_members_removed",
               {{"rows", static_cast<std::int64_t>(rows.size())},
                {"outcome", is_ok(outcome) ? std::string("ok") : describe(failure(outcome))}});
}

} // namespace peridot
