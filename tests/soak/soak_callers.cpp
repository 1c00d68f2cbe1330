#include "soak/soak_callers.h"

#include "core/random_source.h"
#include "http/connection_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <deque>
#include <thread>

namespace peridot::soak {

namespace {

namespace asio = boost::asio;

enum class caller_kind : std::uint8_t { lookup, payment, newest_route };

constexpr int callers_per_kind = 3;
constexpr milliseconds max_pause{30};
constexpr milliseconds min_deadline{300};
constexpr milliseconds max_deadline{3000};
// A node answers at the request's deadline at the latest. The caller waits this much longer for
// that answer to arrive.
constexpr milliseconds answer_grace{1000};

} // namespace

class soak_callers::implementation {
public:
    implementation(std::vector<socket_address> addresses, std::uint64_t seed)
        : nodes(std::move(addresses)), starts(this->nodes.size()), random(seed) {
        for (std::size_t instance = 0; instance < this->nodes.size(); ++instance) {
            for (int number = 0; number < callers_per_kind; ++number) {
                for (auto const kind :
                     {caller_kind::lookup, caller_kind::payment, caller_kind::newest_route}) {
                    asio::co_spawn(this->context, this->call_repeatedly(instance, kind),
                                   asio::detached);
                }
            }
        }
        this->thread = std::thread([this] { this->context.run(); });
    }

    std::vector<soak_record> stop() {
        this->is_stopping = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
        return std::move(this->records);
    }

    std::atomic<std::uint64_t> version{0};
    std::vector<socket_address> nodes;
    std::deque<std::atomic<unsigned>> starts;

private:
    std::int64_t between(std::int64_t low, std::int64_t high) {
        return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
    }

    asio::awaitable<void> call_repeatedly(std::size_t instance, caller_kind kind) {
        asio::steady_timer timer(this->context);
        while (!this->is_stopping) {
            co_await this->call(instance, kind);
            timer.expires_after(milliseconds(this->between(1, max_pause.count())));
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    http_request request_for(soak_record& record, caller_kind kind) {
        http_request request;
        request.host = "mesh.example";
        request.target = kind == caller_kind::payment ? "/pay/1" : "/get/1";
        request.method = kind == caller_kind::payment ? "POST" : "GET";
        record.is_idempotent = kind != caller_kind::payment;
        if (kind == caller_kind::newest_route && this->version > 0) {
            record.needed_version = this->version;
            request.target = "/more" + std::to_string(record.needed_version - 1) + "/1";
        }
        record.attempt = "soak-" + std::to_string(++this->last_attempt);
        request.headers.set("X-Attempt-Id", record.attempt);
        return request;
    }

    asio::awaitable<void> call(std::size_t instance, caller_kind kind) {
        soak_record record;
        record.instance = instance;
        auto request = this->request_for(record, kind);
        milliseconds const deadline(this->between(min_deadline.count(), max_deadline.count()));
        request.headers.set("X-Deadline-Ms", std::to_string(deadline.count()));
        record.incarnation = this->starts[instance];
        record.started = std::chrono::steady_clock::now();
        auto const reuse =
            record.is_idempotent ? connection_reuse::any : connection_reuse::recent_only;
        auto const outcome =
            co_await this->connections.exchange(this->nodes[instance], std::move(request),
                                                record.started + deadline + answer_grace, reuse);
        record.ended = std::chrono::steady_clock::now();
        if (auto const* failed = std::get_if<exchange_failure>(&outcome)) {
            record.is_sent = failed->progress != exchange_progress::not_sent;
        } else {
            auto const& answer = std::get<http_response>(outcome);
            record.status = answer.status;
            bool const has_own_id = answer.headers.value("X-Attempt-Id") == record.attempt;
            bool const is_complete = answer.body.starts_with(record.attempt + " done by ");
            record.is_matching = has_own_id && (answer.status != 200 || is_complete);
        }
        this->records.push_back(std::move(record));
    }

    asio::io_context context{1};
    connection_pool connections{context};
    random_source random;
    std::uint64_t last_attempt = 0;
    std::vector<soak_record> records;
    std::atomic<bool> is_stopping{false};
    std::thread thread;
};

soak_callers::soak_callers(std::vector<socket_address> const& nodes, std::uint64_t seed)
    : self(std::make_unique<implementation>(nodes, seed)) {}

soak_callers::~soak_callers() {
    this->self->stop();
}

void soak_callers::set_version(std::uint64_t version) {
    this->self->version = version;
}

void soak_callers::record_start(std::size_t instance) {
    ++this->self->starts[instance];
}

std::vector<soak_record> soak_callers::stop() {
    return this->self->stop();
}

} // namespace peridot::soak
