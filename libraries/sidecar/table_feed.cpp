#include "sidecar/table_feed.h"

#include "core/log.h"
#include "core/random_source.h"
#include "mesh/store_backoff.h"
#include "platform/store_client.h"
#include "sidecar/row_conversion.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr milliseconds read_timeout{1000};
constexpr milliseconds changes_wait{25'000};
// Changes in quick succession are read together.
constexpr milliseconds changes_pause{450};
// The store counts as unavailable if it has not responded for this long.
constexpr milliseconds outage_threshold{700};
// After this time, a failure no longer indicates the state of the store.
constexpr milliseconds failure_validity{5000};

} // namespace

class table_feed::implementation {
public:
    implementation(asio::io_context& io, store_client& client, std::string name, handlers callbacks)
        : context(io), store(client), table(std::move(name)), callbacks(std::move(callbacks)) {}

    asio::awaitable<step_kind> step(store_role role) {
        bool const is_snapshot = this->needs_snapshot;
        bool const is_success =
            is_snapshot ? co_await this->read_snapshot() : co_await this->read_changes();
        if (!is_success) {
            co_await this->pause(this->backoff.next(role, this->random));
            co_return step_kind::failed;
        }
        if (is_snapshot) {
            co_return step_kind::snapshot_read;
        }
        co_await this->pause(changes_pause);
        co_return step_kind::changes_read;
    }

    asio::awaitable<bool> read_snapshot() {
        std::vector<replica_row> rows;
        std::uint64_t as_of = 0;
        std::string from;
        for (;;) {
            auto page = co_await this->store.read(this->table, from,
                                                  std::chrono::steady_clock::now() + read_timeout);
            if (!is_ok(page)) {
                this->record_failure(failure(page));
                co_return false;
            }
            this->record_success(value(page).store_time);
            if (from.empty()) {
                as_of = value(page).revision;
            }
            auto more = to_replica_rows(std::move(value(page).rows));
            std::ranges::move(more, std::back_inserter(rows));
            if (!value(page).has_more || rows.empty()) {
                break;
            }
            // The next key in byte order.
            from = rows.back().key + '\0';
        }
        this->needs_snapshot = false;
        this->revision = std::max(this->revision, as_of);
        this->callbacks.replace(std::move(rows), as_of);
        co_return true;
    }

    asio::awaitable<bool> read_changes() {
        auto page = co_await this->store.changes(this->table, this->revision, changes_wait);
        if (!is_ok(page)) {
            this->record_failure(failure(page));
            this->needs_snapshot = failure(page).code == result_code::platform_history_gone;
            // The store is available; only its history does not reach back far enough.
            co_return this->needs_snapshot;
        }
        this->record_success(value(page).store_time);
        this->revision = std::max(this->revision, value(page).revision);
        this->callbacks.apply(to_replica_rows(std::move(value(page).rows)));
        co_return true;
    }

    void record_failure(error const& reason) {
        this->failed_at = std::chrono::steady_clock::now();
        if (!this->failing_since) {
            this->failing_since = std::chrono::steady_clock::now();
            log::write(log::level::warning, "store_lost",
                       {{"table", this->table}, {"reason", describe(reason)}});
        }
    }

    void record_success(milliseconds store_time) {
        this->backoff.reset();
        if (this->failing_since) {
            this->failing_since.reset();
            log::write(log::level::info, "store_regained", {{"table", this->table}});
        }
        this->callbacks.observe_store_time(store_time);
    }

    asio::awaitable<void> pause(milliseconds time) {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    asio::io_context& context;
    store_client& store;
    std::string table;
    handlers callbacks;
    bool needs_snapshot = true;
    std::uint64_t revision = 0;
    std::optional<steady_time> failing_since;
    steady_time failed_at;
    store_backoff backoff;
    random_source random = make_random_source();
};

table_feed::table_feed(asio::io_context& context, store_client& store, std::string table,
                       handlers callbacks)
    : self(std::make_unique<implementation>(context, store, std::move(table),
                                            std::move(callbacks))) {}

table_feed::~table_feed() = default;

asio::awaitable<table_feed::step_kind> table_feed::step(store_role role) {
    return this->self->step(role);
}

void table_feed::advance_to(std::uint64_t revision) {
    this->self->needs_snapshot &= revision == 0;
    this->self->revision = std::max(this->self->revision, revision);
}

bool table_feed::has_snapshot() const {
    return !this->self->needs_snapshot || this->self->revision > 0;
}

std::uint64_t table_feed::revision() const {
    return this->self->revision;
}

bool table_feed::is_unavailable(steady_time now) const {
    auto const& state = *this->self;
    // Without any rows there is no reason to wait before falling back to another source.
    auto const threshold = state.revision == 0 ? milliseconds(0) : outage_threshold;
    return state.failing_since && now - *state.failing_since >= threshold &&
           now - state.failed_at < failure_validity;
}

} // namespace peridot
