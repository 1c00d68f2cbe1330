#include "processes/support/caller_group.h"

#include "http/connection_pool.h"
#include "processes/support/contract_terms.h"
#include "processes/support/wait_until.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <thread>

namespace peridot::processes {

namespace {

namespace asio = boost::asio;

constexpr seconds call_timeout{30};
// Prevents a busy loop in callers whose node does not accept connections.
constexpr milliseconds pause_between_calls{2};

bool carries_id(http_response const& answer, std::string const& id) {
    boost::system::error_code failed;
    auto const body = boost::json::parse(answer.body, failed);
    return body.is_object() && body.as_object().contains("id") &&
           body.at("id") == boost::json::string(id);
}

} // namespace

class caller_group::implementation {
public:
    implementation(std::string start, std::vector<socket_address> addresses, std::size_t callers,
                   std::string code)
        : prefix(std::move(start)), nodes(std::move(addresses)), stop_code(std::move(code)) {
        for (std::size_t number = 0; number < callers; ++number) {
            asio::co_spawn(this->context, this->call_repeatedly(), asio::detached);
        }
        this->thread = std::thread([this] { this->context.run(); });
    }

    void join() {
        this->is_stopping = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    std::vector<call_record> records;
    std::atomic<std::size_t> ended{0};

private:
    asio::awaitable<void> call_repeatedly() {
        asio::steady_timer timer(this->context);
        while (!this->is_stopping) {
            auto const number = this->next++;
            call_record record;
            record.id = this->prefix + "-" + std::to_string(number);
            record.method = number % 2 == 0 ? "GET" : "POST";
            auto const address = this->nodes[number / 2 % this->nodes.size()];
            co_await this->call(address, record);
            bool const is_last = !this->stop_code.empty() && record.code == this->stop_code;
            this->records.push_back(std::move(record));
            ++this->ended;
            if (is_last) {
                co_return;
            }
            timer.expires_after(pause_between_calls);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<void> call(socket_address address, call_record& record) {
        http_request request{record.method, "/deposits/item", {}, {}};
        request.headers.set("X-Test-Id", record.id);
        request.headers.set("Authorization", std::string("Bearer cafe-partners.") + test_secret);
        auto const deadline = std::chrono::steady_clock::now() + call_timeout;
        auto const reuse =
            record.method == "GET" ? connection_reuse::any : connection_reuse::recent_only;
        auto outcome =
            co_await this->connections.exchange(address, std::move(request), deadline, reuse);
        if (auto const* failed = std::get_if<exchange_failure>(&outcome)) {
            record.outcome =
                failed->progress == exchange_progress::not_sent ? "not_run" : "unknown";
            co_return;
        }
        auto const& answer = std::get<http_response>(outcome);
        record.status = answer.status;
        record.outcome = answer.headers.value("Peridot-Outcome");
        record.code = answer.headers.value("Peridot-Code");
        record.is_matching = answer.status != 200 || carries_id(answer, record.id);
    }

    asio::io_context context{1};
    connection_pool connections{context};
    std::string prefix;
    std::vector<socket_address> nodes;
    std::string stop_code;
    std::size_t next = 0;
    std::atomic<bool> is_stopping{false};
    std::thread thread;
};

caller_group::caller_group(std::string prefix, std::vector<socket_address> nodes,
                           std::size_t callers, std::string stop_code)
    : self(std::make_unique<implementation>(std::move(prefix), std::move(nodes), callers,
                                            std::move(stop_code))) {}

caller_group::~caller_group() {
    this->self->join();
}

std::size_t caller_group::ended() const {
    return this->self->ended;
}

bool caller_group::wait_for_more(std::size_t count) const {
    auto const expected = this->ended() + count;
    return wait_until([&] { return this->ended() >= expected; });
}

std::vector<call_record> caller_group::stop() {
    this->self->join();
    return this->self->records;
}

} // namespace peridot::processes
