#include "sidecar/fleet_sync.h"

#include "core/boot_clock.h"
#include "core/log.h"
#include "core/random_source.h"
#include "http/connection_pool.h"
#include "mesh/row_replica.h"
#include "platform/decoders.h"
#include "platform/store_client.h"
#include "sidecar/view_builder.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace peridot {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds read_timeout{1000};
constexpr milliseconds commit_timeout{1500};
constexpr milliseconds feed_wait{25'000};
// Changes in quick succession are read together.
constexpr milliseconds feed_pause{450};
constexpr milliseconds first_backoff{100};
constexpr milliseconds longest_backoff{1000};
// Without an answer of the store for this long, other nodes are asked.
constexpr milliseconds store_patience{700};
constexpr milliseconds peer_period{500};
constexpr milliseconds peer_timeout{700};
constexpr milliseconds peer_connect_timeout{250};
constexpr std::size_t table_count = 2;
constexpr std::size_t most_contacts = 256;
constexpr std::string_view rows_path = "/rows?after=";

replica_row to_replica(store_row row) {
    return {std::move(row.table), std::move(row.key), std::move(row.value), row.revision,
            row.is_removed};
}

std::vector<replica_row> to_replica(std::vector<store_row> rows) {
    std::vector<replica_row> converted;
    converted.reserve(rows.size());
    for (auto& row : rows) {
        converted.push_back(to_replica(std::move(row)));
    }
    return converted;
}

// Rows of another node, and the revision up to which it holds every row.
struct peer_rows {
    std::uint64_t covered = 0;
    std::vector<replica_row> rows;
};

peer_rows parse_peer_rows(std::string_view text) {
    peer_rows read;
    boost::system::error_code unreadable;
    auto const parsed = json::parse(text, unreadable);
    auto const* object = unreadable ? nullptr : parsed.if_object();
    auto const* found = object == nullptr ? nullptr : object->if_contains("rows");
    auto const* list = found == nullptr ? nullptr : found->if_array();
    if (list == nullptr) {
        return read;
    }
    if (auto const* covered = object->if_contains("covered")) {
        auto const number = covered->to_number<std::uint64_t>(unreadable);
        read.covered = unreadable ? 0 : number;
    }
    for (auto const& item : *list) {
        try {
            auto const& object = item.as_object();
            replica_row row;
            row.table = object.at("table").as_string();
            row.key = object.at("key").as_string();
            row.value = object.at("value").as_string();
            row.revision = object.at("revision").to_number<std::uint64_t>();
            row.is_removed = object.at("removed").as_bool();
            read.rows.push_back(std::move(row));
        } catch (std::exception const& fault) {
            log::write(log::level::warning, "peer_row_unreadable", {{"reason", fault.what()}});
            read.covered = 0;
        }
    }
    return read;
}

} // namespace

class fleet_sync::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, connection_pool& pool, store_client& client,
                   rcu_cell<fleet_view>& cell, std::string ip, std::uint16_t control_port)
        : context(io)
        , connections(pool)
        , store(client)
        , views(cell)
        , own_ip(std::move(ip))
        , port(control_port) {}

    void start() {
        for (auto const table : {store_keys::operator_table, fleet_keys::table}) {
            asio::co_spawn(this->context, follow(this->shared_from_this(), std::string(table)),
                           asio::detached);
        }
        asio::co_spawn(this->context, watch_store(this->shared_from_this()), asio::detached);
    }

    // Reads the whole table, then follows its changes, for as long as the process runs.
    static asio::awaitable<void> follow(std::shared_ptr<implementation> self, std::string table) {
        for (;;) {
            std::uint64_t revision = 0;
            if (!co_await self->read_table(table, revision)) {
                co_await self->pause_after_failure(table);
                continue;
            }
            while (co_await self->follow_changes(table, revision)) {
            }
        }
    }

    asio::awaitable<bool> read_table(std::string const& table, std::uint64_t& revision) {
        std::vector<replica_row> rows;
        std::string from;
        for (;;) {
            auto page = co_await this->store.read(table, from,
                                                  std::chrono::steady_clock::now() + read_timeout);
            if (!is_ok(page)) {
                this->note_failure(table, failure(page));
                co_return false;
            }
            this->note_success(table);
            this->note_store_time(value(page).store_time);
            if (from.empty()) {
                revision = value(page).revision;
            }
            auto more = to_replica(std::move(value(page).rows));
            rows.insert(rows.end(), more.begin(), more.end());
            if (!value(page).has_more || rows.empty()) {
                break;
            }
            // The next key in byte order.
            from = rows.back().key + '\0';
        }
        this->read_up_to[table] = revision;
        if (this->replica.replace_table(table, std::move(rows), revision) || !this->has_published) {
            this->publish();
        }
        co_return true;
    }

    // False when the table has to be read as a whole again.
    asio::awaitable<bool> follow_changes(std::string const& table, std::uint64_t& revision) {
        auto page = co_await this->store.changes(table, revision, feed_wait);
        if (!is_ok(page)) {
            this->note_failure(table, failure(page));
            if (failure(page).code == result_code::platform_history_gone) {
                co_return false;
            }
            co_await this->pause_after_failure(table);
            co_return true;
        }
        this->note_success(table);
        this->note_store_time(value(page).store_time);
        revision = std::max(revision, value(page).revision);
        this->read_up_to[table] = revision;
        this->apply(to_replica(std::move(value(page).rows)));
        co_await this->pause(feed_pause);
        co_return true;
    }

    void apply(std::vector<replica_row> rows) {
        bool is_changed = false;
        for (auto& row : rows) {
            is_changed |= this->replica.apply(std::move(row));
        }
        if (is_changed) {
            this->publish();
        }
    }

    void publish() {
        auto view = this->builder.build(this->replica);
        for (auto const& [service, members] : view->members) {
            for (auto const& known : members) {
                this->add_contact(known.ip);
            }
        }
        this->views.replace(std::move(view));
        this->has_published = true;
        if (this->handle_change) {
            this->handle_change();
        }
    }

    void add_contact(std::string const& ip) {
        if (ip != this->own_ip && this->contacts.size() < most_contacts) {
            this->contacts.insert(ip);
        }
    }

    // Other nodes are asked while the store does not serve this one.
    static asio::awaitable<void> watch_store(std::shared_ptr<implementation> self) {
        for (;;) {
            co_await self->pause(peer_period);
            if (self->is_store_out() && !self->contacts.empty()) {
                auto const chosen = std::uniform_int_distribution<std::size_t>(
                    0, self->contacts.size() - 1)(self->random);
                auto const ip =
                    *std::next(self->contacts.begin(), static_cast<std::ptrdiff_t>(chosen));
                co_await self->ask(ip);
            }
        }
    }

    bool is_store_out() const {
        return std::ranges::any_of(this->failing_since, [](auto const& entry) {
            return std::chrono::steady_clock::now() - entry.second > store_patience;
        });
    }

    asio::awaitable<void> ask(std::string ip) {
        http_request request;
        request.target = std::string(rows_path) + std::to_string(this->covered());
        exchange_options options;
        options.connect_timeout = peer_connect_timeout;
        socket_address const address{ip, this->port};
        auto const outcome = co_await this->connections.exchange(
            address, std::move(request), std::chrono::steady_clock::now() + peer_timeout, options);
        auto const* answer = std::get_if<http_response>(&outcome);
        if (answer == nullptr || answer->status != 200) {
            co_return;
        }
        auto read = parse_peer_rows(answer->body);
        this->covered_by_peers = std::max(this->covered_by_peers, read.covered);
        if (!read.rows.empty()) {
            log::write(log::level::info, "rows_learnt_from_node",
                       {{"ip", ip}, {"rows", static_cast<std::int64_t>(read.rows.size())}});
            this->apply(std::move(read.rows));
        }
    }

    // The revision up to which this node holds every row: rows of the node's own writes and rows of
    // other nodes may be newer while older ones are still missing.
    std::uint64_t covered() const {
        if (this->read_up_to.size() < table_count) {
            return this->covered_by_peers;
        }
        auto const by_store = std::ranges::min_element(
            this->read_up_to, {}, &std::map<std::string, std::uint64_t>::value_type::second);
        return std::max(by_store->second, this->covered_by_peers);
    }

    // Both clocks are steady; answers that were long under way would set the clock back.
    void note_store_time(milliseconds read) {
        auto const offset =
            std::chrono::duration_cast<milliseconds>(boot_clock::now().time_since_epoch()) - read;
        if (!this->store_clock_offset || offset < *this->store_clock_offset) {
            this->store_clock_offset = offset;
        }
    }

    std::optional<milliseconds> store_time() const {
        if (!this->store_clock_offset) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<milliseconds>(boot_clock::now().time_since_epoch()) -
               *this->store_clock_offset;
    }

    void note_failure(std::string const& table, error const& reason) {
        auto const [place, is_new] =
            this->failing_since.emplace(table, std::chrono::steady_clock::now());
        if (is_new) {
            log::write(log::level::warning, "store_lost",
                       {{"table", table}, {"reason", describe(reason)}});
        }
    }

    void note_success(std::string const& table) {
        this->backoffs.erase(table);
        if (this->failing_since.erase(table) > 0) {
            log::write(log::level::info, "store_regained", {{"table", table}});
        }
    }

    asio::awaitable<void> pause_after_failure(std::string const& table) {
        auto& backoff = this->backoffs[table];
        backoff = std::clamp(backoff * 2, first_backoff, longest_backoff);
        auto const jittered = std::uniform_int_distribution<std::int64_t>(
            backoff.count() / 2, backoff.count())(this->random);
        co_await this->pause(milliseconds(jittered));
    }

    asio::awaitable<void> pause(milliseconds time) {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    asio::awaitable<commit_outcome> commit(std::vector<replica_row> rows) {
        store_transaction transaction;
        for (auto const& row : rows) {
            transaction.writes.push_back({row.table, row.key, row.value, row.revision, false});
        }
        auto outcome = co_await this->store.commit(
            std::move(transaction), std::chrono::steady_clock::now() + commit_timeout);
        if (auto const* done = std::get_if<commit_done>(&outcome)) {
            for (auto& row : rows) {
                row.revision = done->revision;
            }
            this->apply(std::move(rows));
        } else if (auto const* conflict = std::get_if<commit_conflict>(&outcome)) {
            this->apply(to_replica(conflict->rows));
        }
        co_return outcome;
    }

    http_response answer_rows(http_request const& request) const {
        std::string_view target = request.target;
        std::uint64_t after = 0;
        http_response answer;
        if (!target.starts_with(rows_path)) {
            answer.status = 404;
            return answer;
        }
        target.remove_prefix(rows_path.size());
        std::from_chars(target.data(), target.data() + target.size(), after);
        json::array rows;
        json::object body;
        body["covered"] = this->covered();
        for (auto const* row : this->replica.rows_after(after)) {
            rows.push_back({{"table", row->table},
                            {"key", row->key},
                            {"value", row->value},
                            {"revision", row->revision},
                            {"removed", row->is_removed}});
        }
        body["rows"] = std::move(rows);
        answer.body = json::serialize(body);
        return answer;
    }

    asio::io_context& context;
    connection_pool& connections;
    store_client& store;
    rcu_cell<fleet_view>& views;
    std::string own_ip;
    std::uint16_t port;
    std::function<void()> handle_change;
    row_replica replica;
    view_builder builder;
    bool has_published = false;
    std::map<std::string, std::uint64_t> read_up_to;
    std::uint64_t covered_by_peers = 0;
    std::optional<milliseconds> store_clock_offset;
    std::set<std::string> contacts;
    std::map<std::string, steady_time> failing_since;
    std::map<std::string, milliseconds> backoffs;
    random_source random = make_random_source();
};

fleet_sync::fleet_sync(asio::io_context& context, connection_pool& connections, store_client& store,
                       rcu_cell<fleet_view>& views, std::string own_ip, std::uint16_t port)
    : self(std::make_shared<implementation>(context, connections, store, views, std::move(own_ip),
                                            port)) {}

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

void fleet_sync::ask(std::string const& ip) {
    // The store's feed brings the same rows within moments, without bytes between availability
    // zones.
    if (!this->self->is_store_out()) {
        return;
    }
    asio::co_spawn(this->self->context, this->self->ask(ip), asio::detached);
}

asio::awaitable<commit_outcome> fleet_sync::commit(std::vector<replica_row> rows) {
    return this->self->commit(std::move(rows));
}

row_replica const& fleet_sync::rows() const {
    return this->self->replica;
}

std::optional<milliseconds> fleet_sync::store_time() const {
    return this->self->store_time();
}

http_response fleet_sync::answer_rows(http_request const& request) const {
    return this->self->answer_rows(request);
}

} // namespace peridot
