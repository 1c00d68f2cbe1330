#include "processes/mesh_support/store_standin.h"

#include "core/time.h"
#include "http/http_server.h"
#include "platform/base64.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace peridot::processes {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds feed_poll{5};
constexpr unsigned status_gone = 410;
constexpr std::string_view era_field = "Store-Era";

http_response answer_with(json::object const& body, unsigned status = 200) {
    http_response answer;
    answer.status = status;
    answer.headers.set("Content-Type", "application/json");
    answer.body = json::serialize(body);
    return answer;
}

} // namespace

struct stored_row {
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;
};
using row_key = std::pair<std::string, std::string>;

class store_standin::copy {
public:
    std::map<row_key, stored_row> rows;
    std::uint64_t revision = 0;
};

class store_standin::implementation {
public:
    explicit implementation(std::string const& ip)
        : server(
              context,
              [this](http_request request) { return this->respond_at_first(std::move(request)); })
        , second_server(
              context, [this](http_request request) { return this->respond(std::move(request)); }) {
        this->listening = peridot::value(this->server.listen({ip, 0}));
        this->second_listening = peridot::value(this->second_server.listen({ip, 0}));
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~implementation() {
        this->context.stop();
        this->thread.join();
    }
    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    // Counts a call to the feed while it waits.
    class waiting_call {
    public:
        explicit waiting_call(std::atomic<int>& count) : count(count) { ++this->count; }
        ~waiting_call() { --this->count; }
        waiting_call(waiting_call const&) = delete;
        waiting_call& operator=(waiting_call const&) = delete;
        waiting_call(waiting_call&&) = delete;
        waiting_call& operator=(waiting_call&&) = delete;

    private:
        std::atomic<int>& count;
    };

    // Keeps the body of a transaction in the list of those that wait.
    class held_transaction {
    public:
        held_transaction(implementation& store, std::string const& body) : store(store) {
            std::lock_guard const guard(this->store.lock);
            this->position = this->store.held.insert(this->store.held.end(), body);
        }
        ~held_transaction() {
            std::lock_guard const guard(this->store.lock);
            this->store.held.erase(this->position);
        }
        held_transaction(held_transaction const&) = delete;
        held_transaction& operator=(held_transaction const&) = delete;
        held_transaction(held_transaction&&) = delete;
        held_transaction& operator=(held_transaction&&) = delete;

    private:
        implementation& store;
        std::list<std::string>::iterator position;
    };

    static json::object row_json(row_key const& key, stored_row const& row) {
        json::object object{{"Table", key.first},
                            {"part", ""},
                            {"Key", key.second},
                            {"Value", to_base64(row.value)},
                            {"SchemaVersion", row.revision}};
        if (row.is_removed) {
            object["Tombstone"] = true;
        }
        return object;
    }

    json::object page(std::string const& table, std::uint64_t after) const {
        std::lock_guard const guard(this->lock);
        json::array rows;
        for (auto const& [key, row] : this->rows) {
            // A complete reading contains no removals.
            bool const is_listed = !row.is_removed || after > 0;
            if (key.first == table && row.revision > after && is_listed) {
                rows.push_back(row_json(key, row));
            }
        }
        return {{"Rows", std::move(rows)},
                {"HasMore", false},
                {"SchemaVersion", this->revision},
                {"NowS", this->now()}};
    }

    double now() const {
        return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch() -
                                             this->clock_delay.load())
            .count();
    }

    std::uint64_t newest_revision() const {
        std::lock_guard const guard(this->lock);
        return this->revision;
    }

    http_response commit(std::string const& text) {
        auto const body = json::parse(text).as_object();
        std::lock_guard const guard(this->lock);
        json::array current;
        bool is_met = true;
        for (auto const& item : body.at("ExpectedRev").as_array()) {
            row_key const key{std::string(item.at("Table").as_string()),
                              std::string(item.at("Key").as_string())};
            auto const found = this->rows.find(key);
            bool const exists = found != this->rows.end() && !found->second.is_removed;
            auto const held = exists ? found->second.revision : 0;
            is_met &= held == item.at("SchemaVersion").to_number<std::uint64_t>();
            if (exists) {
                current.push_back(row_json(key, found->second));
            }
        }
        if (!is_met) {
            return answer_with({{"Rows", std::move(current)},
                                {"SchemaVersion", this->revision},
                                {"NowS", this->now()}},
                               412);
        }
        ++this->revision;
        for (auto const& item : body.at("SetKeys").as_array()) {
            row_key const key{std::string(item.at("Table").as_string()),
                              std::string(item.at("Key").as_string())};
            ++this->written_rows;
            this->rows[key] = {from_base64(std::string(item.at("Value").as_string())).value_or(""),
                               this->revision};
        }
        return answer_with({{"SchemaVersion", this->revision}, {"NowS", this->now()}});
    }

    asio::awaitable<void> hold(std::string const& body) {
        held_transaction const listed(*this, body);
        asio::steady_timer timer(this->context);
        while (this->is_holding_writes) {
            timer.expires_after(feed_poll);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    std::vector<std::string> held_values(row_key const& wanted) const {
        std::lock_guard const guard(this->lock);
        std::vector<std::string> values;
        for (auto const& body : this->held) {
            auto const transaction = json::parse(body);
            for (auto const& item : transaction.at("SetKeys").as_array()) {
                if (wanted == row_key(item.at("Table").as_string(), item.at("Key").as_string())) {
                    values.push_back(
                        from_base64(std::string(item.at("Value").as_string())).value_or(""));
                }
            }
        }
        return values;
    }

    asio::awaitable<http_response> respond_at_first(http_request request) {
        auto answer = co_await this->respond(std::move(request));
        asio::steady_timer timer(this->context);
        while (this->is_silent) {
            timer.expires_after(feed_poll);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return answer;
    }

    asio::awaitable<http_response> respond(http_request request) {
        this->requested_transactions += request.target == "/rows-tx" ? 1 : 0;
        if (this->is_unavailable) {
            http_response unavailable;
            unavailable.status = 503;
            unavailable.headers.set(era_field, std::to_string(this->era.load()));
            co_return unavailable;
        }
        auto answer = co_await this->answer(std::move(request));
        answer.headers.set(era_field, std::to_string(this->era.load()));
        if (this->delay.load() > milliseconds(0)) {
            asio::steady_timer timer(this->context, this->delay.load());
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (this->is_garbling) {
            answer.body = this->unreadable(answer.body);
        }
        if (this->is_losing_answers) {
            throw std::runtime_error("the response is dropped");
        }
        co_return answer;
    }

    // Returns one unreadable body after the other: cut, of the wrong types, too deep, no JSON.
    std::string unreadable(std::string const& body) {
        switch (this->garbled_bodies++ % 5) {
        case 0:
            return body.substr(0, body.size() / 2);
        case 1:
            return R"({"Rows":[{"Table":7,"Key":null,"Value":5,"SchemaVersion":-1},8],"NowS":"x"})";
        case 2:
            return std::string(20'000, '[');
        case 3:
            return "[]";
        default:
            return "\xff\xfe not JSON";
        }
    }

    asio::awaitable<http_response> answer(http_request request) {
        if (request.target == "/rows-tx") {
            co_await this->hold(request.body);
            co_return this->commit(request.body);
        }
        auto const parsed = boost::urls::parse_origin_form(request.target);
        auto const parameters = parsed->params();
        std::string const table((*parameters.find("Table")).value);
        if (parsed->path() == "/rows-get") {
            co_return answer_with(this->page(table, 0));
        }
        auto const after = std::stoull((*parameters.find("after")).value);
        auto const wait = milliseconds(std::stol((*parameters.find("WaitMs")).value));
        auto const until = std::chrono::steady_clock::now() + wait;
        asio::steady_timer timer(this->context);
        waiting_call const counted(this->waiting);
        if (after > this->newest_revision()) {
            co_return answer_with({}, status_gone);
        }
        auto const era_at_start = this->era.load();
        for (;;) {
            if (this->era != era_at_start) {
                throw std::runtime_error("the store was restored");
            }
            auto found = this->page(table, after);
            if (!found.at("Rows").as_array().empty() || std::chrono::steady_clock::now() >= until ||
                this->is_unavailable) {
                co_return answer_with(found);
            }
            timer.expires_after(feed_poll);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::io_context context{1};
    http_server server;
    http_server second_server;
    socket_address listening;
    socket_address second_listening;
    std::thread thread;
    mutable std::mutex lock;
    std::map<row_key, stored_row> rows;
    std::uint64_t revision = 0;
    std::atomic<std::uint64_t> era{1};
    std::atomic<milliseconds> clock_delay{milliseconds(0)};
    std::atomic<bool> is_silent{false};
    std::atomic<bool> is_unavailable{false};
    std::atomic<bool> is_losing_answers{false};
    std::atomic<bool> is_garbling{false};
    std::atomic<bool> is_holding_writes{false};
    /// Bodies of the transactions that wait.
    std::list<std::string> held;
    /// Used by the stand-in's thread only.
    std::size_t garbled_bodies = 0;
    std::atomic<milliseconds> delay{milliseconds(0)};
    std::atomic<int> waiting{0};
    std::atomic<int> requested_transactions{0};
    std::atomic<int> written_rows{0};
};

store_standin::store_standin(std::string const& ip) : self(std::make_unique<implementation>(ip)) {}

store_standin::~store_standin() = default;

socket_address store_standin::address() const {
    return this->self->listening;
}

socket_address store_standin::second_address() const {
    return this->self->second_listening;
}

void store_standin::set_silent(bool is_silent) {
    this->self->is_silent = is_silent;
}

void store_standin::put(std::string const& table, std::string const& key,
                        std::string const& value) {
    std::lock_guard const guard(this->self->lock);
    this->self->rows[{table, key}] = {value, ++this->self->revision};
}

void store_standin::remove(std::string const& table, std::string const& key) {
    std::lock_guard const guard(this->self->lock);
    this->self->rows[{table, key}] = {"", ++this->self->revision, true};
}

std::string store_standin::value(std::string const& table, std::string const& key) const {
    std::lock_guard const guard(this->self->lock);
    auto const found = this->self->rows.find({table, key});
    return found == this->self->rows.end() ? std::string() : found->second.value;
}

std::uint64_t store_standin::revision(std::string const& table, std::string const& key) const {
    std::lock_guard const guard(this->self->lock);
    auto const found = this->self->rows.find({table, key});
    bool const exists = found != this->self->rows.end() && !found->second.is_removed;
    return exists ? found->second.revision : 0;
}

int store_standin::requested_transactions() const {
    return this->self->requested_transactions;
}

int store_standin::written_rows() const {
    return this->self->written_rows;
}

int store_standin::waiting_feeds() const {
    return this->self->waiting;
}

void store_standin::set_unavailable(bool is_unavailable) {
    this->self->is_unavailable = is_unavailable;
}

void store_standin::set_delay(milliseconds delay) {
    this->self->delay = delay;
}

void store_standin::set_garbling(bool is_garbling) {
    this->self->is_garbling = is_garbling;
}

void store_standin::set_holding_writes(bool is_holding) {
    this->self->is_holding_writes = is_holding;
}

std::vector<std::string> store_standin::held_values(std::string const& table,
                                                    std::string const& key) const {
    return this->self->held_values({table, key});
}

void store_standin::set_losing_answers(bool is_losing) {
    this->self->is_losing_answers = is_losing;
}

std::shared_ptr<store_standin::copy const> store_standin::make_copy() const {
    std::lock_guard const guard(this->self->lock);
    return std::make_shared<copy const>(copy{this->self->rows, this->self->revision});
}

void store_standin::restore(copy const& earlier, milliseconds clock_step) {
    std::lock_guard const guard(this->self->lock);
    this->self->rows = earlier.rows;
    this->self->revision = earlier.revision;
    this->self->clock_delay = this->self->clock_delay.load() + clock_step;
    ++this->self->era;
}

} // namespace peridot::processes
