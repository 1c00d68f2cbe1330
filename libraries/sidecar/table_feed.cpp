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
// Longest time until the response to a call that does not wait; a store that responds more slowly
// counts as silent.
constexpr milliseconds max_round_trip{500};
// Changes in quick succession are read together.
constexpr milliseconds changes_pause{450};
// The store counts as unavailable if it has not responded for this long.
constexpr milliseconds outage_threshold{700};
// A node that follows only because it found no usable peer calls the store less often: when a feed
// is cut for all, every node of the fleet does so for a moment.
constexpr milliseconds relying_wait{5000};
// After this time, a failure no longer indicates the state of the store.
constexpr milliseconds failure_validity{5000};

} // namespace

class table_feed::implementation {
public:
    implementation(asio::io_context& io, store_client& client, std::string name, milliseconds wait,
                   handlers callbacks)
        : context(io)
        , store(client)
        , table(std::move(name))
        , changes_wait(wait)
        , callbacks(std::move(callbacks)) {}

    asio::awaitable<step_kind> step(store_role role) {
        auto kind = step_kind::failed;
        if (this->needs_snapshot) {
            kind = co_await this->read_snapshot();
        } else {
            kind = co_await this->read_changes(role);
        }
        if (kind == step_kind::failed) {
            co_await this->pause(this->backoff.next(role, this->random));
        }
        if (kind == step_kind::changes_read) {
            co_await this->pause(changes_pause);
        }
        co_return kind;
    }

    asio::awaitable<step_kind> read_snapshot() {
        std::vector<replica_row> rows;
        store_revision as_of;
        std::string from;
        for (;;) {
            auto const deadline = std::chrono::steady_clock::now() + read_timeout;
            auto page = co_await this->store.read(this->table, from, deadline);
            if (!is_ok(page)) {
                this->record_failure(failure(page), deadline);
                co_return step_kind::failed;
            }
            this->record_success(value(page));
            if (from.empty()) {
                as_of = value(page).revision;
            }
            if (value(page).revision.era != as_of.era) {
                // The store came back from a copy meanwhile, so the parts do not belong together.
                co_return step_kind::no_changes;
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
        if (as_of.number < this->revision.number) {
            log::write(log::level::warning, "store_revision_fell",
                       {{"table", this->table},
                        {"era", static_cast<std::int64_t>(as_of.era)},
                        {"revision", static_cast<std::int64_t>(as_of.number)},
                        {"held", static_cast<std::int64_t>(this->revision.number)}});
        }
        this->revision = std::max(this->revision, as_of);
        this->callbacks.replace(std::move(rows), as_of);
        co_return step_kind::snapshot_read;
    }

    asio::awaitable<step_kind> read_changes(store_role role) {
        auto const now = std::chrono::steady_clock::now();
        auto const wait = role == store_role::leading ? this->leading_wait(now) : relying_wait;
        auto const deadline = now + wait + max_round_trip;
        auto const after = this->revision;
        this->is_waiting = true;
        auto page = co_await this->store.changes(this->table, after.number, wait, deadline);
        this->is_waiting = false;
        if (!is_ok(page)) {
            this->record_failure(failure(page), deadline);
            bool const is_history_gone = failure(page).code == result_code::platform_history_gone;
            this->needs_snapshot |= is_history_gone && after.era == this->revision.era;
            // The store is available; only its history does not reach back far enough.
            co_return is_history_gone ? step_kind::no_changes : step_kind::failed;
        }
        this->record_success(value(page));
        if (value(page).revision.era != after.era) {
            // The changes are those after a position of another era, so some may be missing.
            this->needs_snapshot |= this->revision.era < value(page).revision.era;
            bool const is_outdated = value(page).revision.era < after.era;
            co_return is_outdated ? step_kind::failed : step_kind::no_changes;
        }
        this->revision = std::max(this->revision, value(page).revision);
        bool const has_rows = !value(page).rows.empty();
        this->callbacks.apply(to_replica_rows(std::move(value(page).rows)));
        // A store that does not wait must not be called without a pause.
        bool const has_waited = std::chrono::steady_clock::now() >= now + wait;
        co_return has_rows || !has_waited ? step_kind::changes_read : step_kind::no_changes;
    }

    // The wait ends at a fixed time after the last response, so that the next one is due then
    // whatever this node did in between. Without a recent response the call does not wait.
    milliseconds leading_wait(steady_time now) const {
        return std::max(milliseconds(0), this->changes_wait - this->time_since_response(now));
    }

    void record_failure(error const& reason, steady_time deadline) {
        auto const now = std::chrono::steady_clock::now();
        bool const is_first = !this->failing_since;
        this->failed_at = now;
        this->failing_since = this->failing_since.value_or(now);
        // A call that fails before its deadline may have met a single broken connection.
        this->is_silent = now >= deadline;
        if (is_first) {
            log::write(log::level::warning, "store_lost",
                       {{"table", this->table},
                        {"reason", describe(reason)},
                        {"silent_ms", this->time_since_response(now).count()}});
        }
        if (this->is_unavailable(now)) {
            this->callbacks.store_lost();
        }
    }

    void record_success(store_page const& page) {
        this->responded_at = std::chrono::steady_clock::now();
        this->is_silent = false;
        this->backoff.reset();
        if (this->failing_since) {
            this->failing_since.reset();
            log::write(log::level::info, "store_regained", {{"table", this->table}});
        }
        this->callbacks.observe_store_time(page.revision.era, page.store_time);
    }

    milliseconds time_since_response(steady_time now) const {
        return std::chrono::duration_cast<milliseconds>(now - this->responded_at);
    }

    bool is_unavailable(steady_time now) const {
        if (!this->failing_since || now - this->failed_at >= failure_validity) {
            return false;
        }
        // Without any rows there is no reason to wait before falling back to another source.
        bool const is_immediate = this->revision.number == 0 || this->is_silent;
        return is_immediate || now - *this->failing_since >= outage_threshold;
    }

    asio::awaitable<void> pause(milliseconds time) {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    asio::io_context& context;
    store_client& store;
    std::string table;
    milliseconds changes_wait;
    handlers callbacks;
    bool needs_snapshot = true;
    /// Whether a call waits for changes.
    bool is_waiting = false;
    store_revision revision;
    /// The latest era that the store is known to be in.
    std::uint64_t store_era = 0;
    /// Time of the store's last response; the start of the feed before the first one.
    steady_time responded_at = std::chrono::steady_clock::now();
    std::optional<steady_time> failing_since;
    steady_time failed_at;
    /// Whether the last call got no response until its deadline.
    bool is_silent = false;
    store_backoff backoff;
    random_source random = make_random_source();
};

table_feed::table_feed(asio::io_context& context, store_client& store, std::string table,
                       milliseconds changes_wait, handlers callbacks)
    : self(std::make_unique<implementation>(context, store, std::move(table), changes_wait,
                                            std::move(callbacks))) {}

table_feed::~table_feed() = default;

asio::awaitable<table_feed::step_kind> table_feed::step(store_role role) {
    return this->self->step(role);
}

void table_feed::advance_to(store_revision revision) {
    bool const is_current_era = revision.era >= this->self->store_era;
    this->self->needs_snapshot &= revision.number == 0 || !is_current_era;
    this->self->revision = std::max(this->self->revision, revision);
}

void table_feed::observe_era(std::uint64_t era) {
    this->self->store_era = std::max(this->self->store_era, era);
    this->self->needs_snapshot |= this->self->revision.era < era;
}

bool table_feed::is_waiting_in_ended_era() const {
    return this->self->is_waiting && this->self->needs_snapshot;
}

asio::awaitable<void> table_feed::read_again() {
    co_await this->self->read_snapshot();
}

bool table_feed::has_snapshot() const {
    return !this->self->needs_snapshot || this->self->revision.number > 0;
}

store_revision table_feed::revision() const {
    return this->self->revision;
}

bool table_feed::is_unavailable(steady_time now) const {
    return this->self->is_unavailable(now);
}

} // namespace peridot
