#include "sidecar/fleet_sync.h"

#include "core/boot_clock.h"
#include "core/log.h"
#include "core/random_source.h"
#include "http/connection_pool.h"
#include "mesh/fallback_peer_selector.h"
#include "mesh/mesh_configuration.h"
#include "mesh/row_replica.h"
#include "mesh/row_source_selector.h"
#include "mesh/store_clock.h"
#include "platform/decoders.h"
#include "platform/store_client.h"
#include "settings/sidecar_settings.h"
#include "sidecar/commit_message.h"
#include "sidecar/row_conversion.h"
#include "sidecar/row_exchange_message.h"
#include "sidecar/row_query_handler.h"
#include "sidecar/row_writer.h"
#include "sidecar/table_feed.h"
#include "sidecar/view_builder.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>

namespace peridot {

namespace {

namespace asio = boost::asio;

// Long-poll time of a row query. If the queried node freezes, updates are delayed by this time plus
// the margin, so the sum must stay well below the time limit for a configuration to take effect.
constexpr milliseconds query_wait{500};
constexpr milliseconds comparison_wait{1000};
constexpr milliseconds answer_margin{700};
constexpr milliseconds peer_connect_timeout{250};
// How long the store waits for a change before it responds without one. A store that has gone
// silent is detected after this time, which together with the search for another source must stay
// below the time limit for a configuration to take effect. The members' table may wait longer,
// because a silent store is detected with the operator's table and each gate acts on its own target
// without the store.
constexpr milliseconds configuration_wait{800};
constexpr milliseconds members_wait{5000};
// Changes that arrive in quick succession are applied together.
constexpr milliseconds peer_batch_pause{100};
// Interval between queries to arbitrary nodes while no node that follows the feed is available.
constexpr milliseconds search_period{500};
// A node without any rows cannot serve requests, so it queries at a shorter interval.
constexpr milliseconds initial_search_period{100};
// A follower can only be chosen once the members are loaded; a longer interval would cost
// additional store calls on every node.
constexpr milliseconds initial_choice_period{30};
// Wait after a snapshot: when all nodes start together, most target records are written shortly
// after the snapshot was read.
constexpr milliseconds pause_after_snapshot{100};
// While no other node of the availability zone has registered, each node has to follow the store
// itself, which costs calls for every change. Targets announce themselves soon after the first
// start of the fleet. The operator's table waits longer, so that the members have been read from
// the other table by then.
constexpr milliseconds pause_for_members{1000};
constexpr milliseconds pause_for_configuration{1500};
// A row that another node already holds usually arrives from the regular source within this time.
constexpr milliseconds propagation_time{300};

milliseconds time_since_boot() {
    return std::chrono::duration_cast<milliseconds>(boot_clock::now().time_since_epoch());
}

} // namespace

class fleet_sync::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, connection_pool& pool, store_client& client,
                   rcu_cell<fleet_view>& cell, sidecar_settings const& settings)
        : context(io)
        , connections(pool)
        , store(client)
        , views(cell)
        , port(settings.control_port)
        , sources(settings.instance, settings.availability_zone)
        , role_changed(io, steady_time::max())
        , query_handler(io, replica,
                        [this] {
                            return row_query_handler::copy_state{
                                this->covered(), this->is_current(), this->store_time(),
                                this->clock.era()};
                        })
        , writer(io, pool, client, settings.control_port)
        , search(settings.ip, settings.availability_zone) {
        this->store.set_era_observer([this](std::uint64_t era) { this->observe_era(era); });
        this->add_feed(std::string(store_keys::operator_table), configuration_wait);
        this->add_feed(std::string(fleet_keys::table), members_wait);
    }

    void start() {
        for (auto& [table, feed] : this->feeds) {
            asio::co_spawn(this->context, follow_table(this->shared_from_this(), *feed),
                           asio::detached);
        }
        asio::co_spawn(this->context, poll_sources(this->shared_from_this()), asio::detached);
    }

    void add_contact(std::string const& ip) { this->search.add_contact(ip); }

    void observe_era(std::uint64_t era) {
        if (era <= this->store_era) {
            return;
        }
        log::write(this->store_era == 0 ? log::level::info : log::level::warning,
                   "store_era_changed",
                   {{"era", static_cast<std::int64_t>(era)},
                    {"before", static_cast<std::int64_t>(this->store_era)}});
        this->store_era = era;
        for (auto& [table, feed] : this->feeds) {
            feed->observe_era(era);
            // The wait may last for seconds if the store kept the connection.
            if (this->follows_store && feed->is_waiting_in_ended_era()) {
                asio::co_spawn(this->context, read_again(this->shared_from_this(), *feed),
                               asio::detached);
            }
        }
    }

    void observe_store_time(std::uint64_t era, milliseconds read) {
        this->clock.observe(era, read, time_since_boot());
    }

    std::optional<milliseconds> store_time() const { return this->clock.time(time_since_boot()); }

    store_revision condition(std::string_view table, std::string_view key) const {
        auto const* row = this->replica.find(table, key);
        bool const is_known = row != nullptr && row->revision.era == this->store_era;
        return is_known ? row->revision : store_revision(this->store_era, 0);
    }

    asio::awaitable<commit_outcome> commit(std::vector<replica_row> rows, commit_path path) {
        auto outcome = co_await this->write(rows, path);
        if (auto const* done = std::get_if<commit_done>(&outcome)) {
            this->observe_store_time(done->revision.era, done->store_time);
            for (auto& row : rows) {
                row.revision = done->revision;
            }
            this->apply(std::move(rows));
        } else if (auto const* conflict = std::get_if<commit_conflict>(&outcome)) {
            this->apply(to_replica_rows(conflict->rows));
        }
        co_return outcome;
    }

    // Writes rows on behalf of another node that is not served by the store.
    static asio::awaitable<http_response> answer_commit(std::shared_ptr<implementation> self,
                                                        http_request request) {
        auto rows = read_commit_request(request);
        if (!rows) {
            http_response malformed;
            malformed.status = 400;
            co_return malformed;
        }
        // The calls of this node's feeds show when the store is back.
        if (self->is_store_unavailable()) {
            co_return write_commit_outcome(
                error{result_code::platform_unavailable, "this node has lost the store"});
        }
        // A revision of an earlier era may have been given out again for another content.
        bool const is_outdated = std::ranges::any_of(
            *rows, [&self](replica_row const& row) { return row.revision.era < self->store_era; });
        if (is_outdated) {
            co_return write_commit_outcome(
                error{result_code::platform_era_ended,
                      "the condition is from an earlier era of the store"});
        }
        co_return write_commit_outcome(co_await self->writer.write_combined(std::move(*rows)));
    }

    // Shares ownership of the implementation: a pending response may outlive the owner of the
    // server that requested it.
    static asio::awaitable<http_response> answer_rows(std::shared_ptr<implementation> self,
                                                      http_request request) {
        auto const query = read_row_query(request);
        if (!query) {
            http_response not_found;
            not_found.status = 404;
            co_return not_found;
        }
        // A query without a wait comes from a node that relies on another source.
        if (!query->is_revisions_only && query->max_wait.count() > 0) {
            self->sources.observe_demand(std::chrono::steady_clock::now());
            self->set_follows_store(true);
        }
        co_return co_await self->query_handler.answer(*query);
    }

    static asio::awaitable<void> fetch_if_missing(std::shared_ptr<implementation> self,
                                                  std::string ip, std::uint64_t version) {
        co_await self->pause(propagation_time);
        auto const view = self->views.load();
        if (!view || !view->configuration || view->configuration->version() < version) {
            co_await self->fetch_rows_once(std::move(ip));
        }
    }

    bool has_members() const { return this->members_feed().has_snapshot(); }

    bool is_initial_read_over() const {
        return this->has_members() || this->is_store_unavailable();
    }

    asio::io_context& context;
    row_replica replica;
    store_clock clock;
    std::function<void()> handle_change;

private:
    void add_feed(std::string const& table, milliseconds changes_wait) {
        table_feed::handlers callbacks;
        callbacks.replace = [this, table](std::vector<replica_row> rows, store_revision revision) {
            bool const is_changed = this->replica.replace_table(table, std::move(rows), revision);
            if (is_changed || !this->has_published || this->is_members_read_unpublished()) {
                this->publish();
            }
        };
        callbacks.apply = [this](std::vector<replica_row> rows) { this->apply(std::move(rows)); };
        callbacks.observe_store_time = [this](std::uint64_t era, milliseconds read) {
            this->observe_store_time(era, read);
        };
        // Nodes that wait here for changes select another source at once.
        callbacks.store_lost = [this] { this->query_handler.notify(); };
        this->feeds.emplace(table,
                            std::make_unique<table_feed>(this->context, this->store, table,
                                                         changes_wait, std::move(callbacks)));
    }

    // NOTE: g++ 12 destroys the result of a conditional expression twice if its operands contain
    // co_await.
    asio::awaitable<commit_outcome> write(std::vector<replica_row> rows, commit_path path) {
        if (path == commit_path::direct) {
            co_return co_await this->writer.write(std::move(rows));
        }
        auto const use = this->is_current() ? delegation::none : delegation::allowed;
        co_return co_await this->writer.write_shared(std::move(rows), use);
    }

    // Follows a table whenever this node has to follow the store, until the process ends.
    static asio::awaitable<void> follow_table(std::shared_ptr<implementation> self,
                                              table_feed& feed) {
        for (;;) {
            while (!self->follows_store) {
                co_await self->role_changed.async_wait(asio::as_tuple(asio::use_awaitable));
            }
            auto const step = co_await feed.step(self->sources.role());
            if (step == table_feed::step_kind::snapshot_read) {
                co_await self->wait_after_snapshot(feed);
            }
        }
    }

    static asio::awaitable<void> read_again(std::shared_ptr<implementation> /*self*/,
                                            table_feed& feed) {
        co_await feed.read_again();
    }

    asio::awaitable<void> wait_after_snapshot(table_feed const& feed) {
        // The members are in the other table, which is read concurrently.
        co_await this->pause(pause_after_snapshot);
        if (this->sources.has_zone_peers()) {
            co_return;
        }
        bool const is_operator_table = &feed != &this->members_feed();
        co_await this->pause(is_operator_table ? pause_for_configuration : pause_for_members);
    }

    // Selects the source of changes and queries the selected node.
    static asio::awaitable<void> poll_sources(std::shared_ptr<implementation> self) {
        for (;;) {
            auto const now = std::chrono::steady_clock::now();
            auto const source = self->sources.choose(now, self->is_store_unavailable());
            auto const* peer = std::get_if<peer_source>(&source);
            self->set_follows_store(peer == nullptr);
            if (peer != nullptr) {
                co_await self->fetch_rows(*peer, query_wait);
                continue;
            }
            if (self->is_store_unavailable()) {
                co_await self->pause(self->has_published ? search_period : initial_search_period);
                co_await self->fetch_rows_from_any();
                continue;
            }
            if (!self->has_all_snapshots()) {
                co_await self->pause(initial_choice_period);
                continue;
            }
            auto const other = self->sources.comparison_peer(now);
            if (other) {
                co_await self->compare(*other);
            } else {
                co_await self->pause(search_period);
            }
        }
    }

    void set_follows_store(bool follows) {
        if (this->follows_store == follows) {
            return;
        }
        this->follows_store = follows;
        log::write(log::level::info, follows ? "store_followed" : "store_left_to_others", {});
        this->role_changed.cancel();
    }

    bool is_store_unavailable() const {
        auto const now = std::chrono::steady_clock::now();
        return std::ranges::any_of(
            this->feeds, [now](auto const& entry) { return entry.second->is_unavailable(now); });
    }

    bool has_all_snapshots() const {
        return std::ranges::all_of(this->feeds,
                                   [](auto const& entry) { return entry.second->has_snapshot(); });
    }

    table_feed& members_feed() const { return *this->feeds.find(fleet_keys::table)->second; }

    // The end of the first read is a change also if the table has no rows.
    bool is_members_read_unpublished() const {
        return this->has_members() && !this->has_published_members;
    }

    bool is_current() const { return this->follows_store && !this->is_store_unavailable(); }

    table_revisions covered() const {
        table_revisions revisions;
        for (auto const& [table, feed] : this->feeds) {
            revisions[table] = feed->revision();
        }
        return revisions;
    }

    // Queries a node for the rows that this node lacks and applies them.
    asio::awaitable<void> fetch_rows(peer_source peer, milliseconds max_wait) {
        row_query query;
        query.held = this->covered();
        query.max_wait = max_wait;
        auto const answer = co_await this->exchange(peer, query);
        if (!answer) {
            co_return;
        }
        // A node that the store turned away since its start learns the clock from others.
        if (answer->store_time) {
            this->observe_store_time(answer->clock_era, *answer->store_time);
        }
        bool is_changed = this->apply_rows(answer->rows);
        for (auto const& [table, revision] : answer->covered) {
            is_changed |= this->advance(table, revision);
        }
        if (is_changed || this->is_members_read_unpublished()) {
            this->publish();
        }
        if (!answer->rows.empty()) {
            log::write(log::level::info, "rows_learnt_from_node",
                       {{"ip", peer.ip},
                        {"rows", static_cast<std::int64_t>(answer->rows.size())},
                        {"current", answer->is_current}});
            co_await this->pause(peer_batch_pause);
        }
    }

    // Notes that a table's rows have been received up to a revision. Returns whether rows were
    // removed with it.
    bool advance(std::string const& table, store_revision revision) {
        auto const feed = this->feeds.find(table);
        if (feed == this->feeds.end()) {
            return false;
        }
        this->observe_era(revision.era);
        feed->second->advance_to(revision);
        return this->replica.complete_table(table, revision);
    }

    // Returns the node's response, or no value on failure. The result is recorded for later source
    // selection.
    asio::awaitable<std::optional<row_page>> exchange(peer_source peer, row_query query) {
        exchange_options options;
        options.connect_timeout = peer_connect_timeout;
        socket_address const address{peer.ip, this->port};
        auto const outcome = co_await this->connections.exchange(
            address, write_row_query(query),
            std::chrono::steady_clock::now() + query.max_wait + answer_margin, options);
        auto const now = std::chrono::steady_clock::now();
        auto const* answer = std::get_if<http_response>(&outcome);
        if (answer == nullptr) {
            this->sources.observe(peer.instance, source_observation::unreachable, now);
            log::write(
                log::level::info, "row_source_unreachable",
                {{"ip", peer.ip}, {"reason", std::get<exchange_failure>(outcome).reason.message}});
            co_return std::nullopt;
        }
        auto page = read_row_page(*answer);
        if (!is_ok(page)) {
            this->sources.observe(peer.instance, source_observation::unreachable, now);
            log::write(log::level::warning, "row_page_unreadable",
                       {{"ip", peer.ip}, {"reason", describe(failure(page))}});
            co_return std::nullopt;
        }
        this->sources.observe(
            peer.instance,
            value(page).is_current ? source_observation::current : source_observation::stale, now);
        if (value(page).is_current) {
            this->writer.set_delegate(std::move(peer));
        }
        co_return std::move(value(page));
    }

    // Compares the local revisions with those of a node in another availability zone.
    asio::awaitable<void> compare(peer_source other) {
        row_query query;
        query.held = this->covered();
        query.max_wait = comparison_wait;
        query.is_revisions_only = true;
        auto const sent_at = std::chrono::steady_clock::now();
        auto const answer = co_await this->exchange(other, query);
        if (answer && this->is_behind(answer->covered)) {
            co_await this->pause(propagation_time);
            if (this->is_behind(answer->covered)) {
                log::write(log::level::warning, "rows_behind", {{"ip", other.ip}});
                co_await this->fetch_rows(other, milliseconds(0));
            }
        }
        // A node that follows no feed responds immediately.
        if (std::chrono::steady_clock::now() - sent_at < search_period) {
            co_await this->pause(search_period);
        }
    }

    // Returns whether another node has read a table up to a later revision. Its rows may still be
    // the same, since a table can be re-read without any change.
    bool is_behind(table_revisions const& remote) const {
        return std::ranges::any_of(remote, [this](auto const& entry) {
            auto const feed = this->feeds.find(entry.first);
            return feed != this->feeds.end() && feed->second->revision() < entry.second;
        });
    }

    // While the store does not serve this node and no follower is available, any node may hold
    // newer rows.
    asio::awaitable<void> fetch_rows_from_any() {
        auto const view = this->views.load();
        auto const chosen = this->search.next(view.get(), this->random);
        if (chosen) {
            co_await this->fetch_rows_once(*chosen);
        }
    }

    // Queries the rows that the node currently holds, without selecting it as a source.
    asio::awaitable<void> fetch_rows_once(std::string ip) {
        // NOTE: g++ 12 destroys a braced temporary twice if it is part of a co_await expression.
        peer_source const peer{{}, std::move(ip)};
        co_await this->fetch_rows(peer, milliseconds(0));
    }

    void apply(std::vector<replica_row> rows) {
        if (this->apply_rows(std::move(rows))) {
            this->publish();
        }
    }

    // Returns whether any row was newer than the one that the replica held.
    bool apply_rows(std::vector<replica_row> rows) {
        bool is_changed = false;
        for (auto& row : rows) {
            this->log_if_older(row);
            is_changed |= this->replica.apply(std::move(row));
        }
        return is_changed;
    }

    // A row that is taken for old although its content differs is either late or from a store whose
    // revisions have fallen.
    void log_if_older(replica_row const& row) const {
        auto const* held = this->replica.find(row.table, row.key);
        if (held != nullptr && row.revision < held->revision && row.value != held->value) {
            log::write(log::level::info, "row_older_than_held",
                       {{"table", row.table},
                        {"key", row.key},
                        {"era", static_cast<std::int64_t>(row.revision.era)},
                        {"revision", static_cast<std::int64_t>(row.revision.number)},
                        {"held_era", static_cast<std::int64_t>(held->revision.era)},
                        {"held", static_cast<std::int64_t>(held->revision.number)}});
        }
    }

    void publish() {
        auto view = this->builder.build(this->replica);
        for (auto const& [service, members] : view->members) {
            for (auto const& record : members) {
                this->add_contact(record.ip);
            }
        }
        this->sources.set_members(*view);
        this->views.replace(std::move(view));
        this->has_published = true;
        this->has_published_members = this->has_members();
        if (this->handle_change) {
            this->handle_change();
        }
        this->query_handler.notify();
    }

    asio::awaitable<void> pause(milliseconds time) {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    connection_pool& connections;
    store_client& store;
    rcu_cell<fleet_view>& views;
    std::uint16_t port;
    row_source_selector sources;
    view_builder builder;
    std::map<std::string, std::unique_ptr<table_feed>, std::less<>> feeds;
    bool follows_store = true;
    asio::steady_timer role_changed;
    row_query_handler query_handler;
    row_writer writer;
    bool has_published = false;
    bool has_published_members = false;
    /// The latest era that the store or another node has named.
    std::uint64_t store_era = 0;
    fallback_peer_selector search;
    random_source random = make_random_source();
};

fleet_sync::fleet_sync(asio::io_context& context, connection_pool& connections, store_client& store,
                       rcu_cell<fleet_view>& views, sidecar_settings const& settings)
    : self(std::make_shared<implementation>(context, connections, store, views, settings)) {}

fleet_sync::~fleet_sync() = default;

void fleet_sync::set_change_handler(std::function<void()> handler) {
    this->self->handle_change = std::move(handler);
}

void fleet_sync::start() {
    this->self->start();
}

void fleet_sync::add_contact(std::string const& ip) {
    this->self->add_contact(ip);
}

void fleet_sync::request_configuration(std::string const& ip, std::uint64_t version) {
    asio::co_spawn(this->self->context, implementation::fetch_if_missing(this->self, ip, version),
                   asio::detached);
}

asio::awaitable<commit_outcome> fleet_sync::commit(std::vector<replica_row> rows,
                                                   commit_path path) {
    return this->self->commit(std::move(rows), path);
}

bool fleet_sync::has_read_members() const {
    return this->self->has_members();
}

bool fleet_sync::is_initial_read_over() const {
    return this->self->is_initial_read_over();
}

store_revision fleet_sync::condition(std::string_view table, std::string_view key) const {
    return this->self->condition(table, key);
}

store_clock const& fleet_sync::clock() const {
    return this->self->clock;
}

row_replica const& fleet_sync::rows() const {
    return this->self->replica;
}

std::optional<milliseconds> fleet_sync::store_time() const {
    return this->self->store_time();
}

asio::awaitable<http_response> fleet_sync::answer_commit(http_request request) {
    return implementation::answer_commit(this->self, std::move(request));
}

asio::awaitable<http_response> fleet_sync::answer_rows(http_request request) {
    return implementation::answer_rows(this->self, std::move(request));
}

} // namespace peridot
