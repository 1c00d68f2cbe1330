#include "sidecar/row_writer.h"

#include "core/log.h"
#include "core/random_source.h"
#include "http/connection_pool.h"
#include "mesh/store_backoff.h"
#include "platform/store_client.h"
#include "sidecar/commit_message.h"
#include "sidecar/row_batch.h"
#include "sidecar/row_conversion.h"

#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace peridot {

namespace {

namespace asio = boost::asio;

constexpr milliseconds commit_timeout{1500};
constexpr milliseconds delegate_connect_timeout{250};
// The delegate's own call to the store takes the commit timeout at most; its response needs this
// much more.
constexpr milliseconds answer_margin{700};
// After a failed write, writes go through another node for this long before the store is tried
// again.
constexpr milliseconds delegation_time{3000};

} // namespace

class row_writer::implementation {
public:
    implementation(asio::io_context& io, connection_pool& pool, store_client& client,
                   std::uint16_t control_port)
        : connections(pool)
        , store(client)
        , port(control_port)
        , batch(io, [this](std::vector<replica_row> rows) {
            return this->write_to_store(std::move(rows));
        }) {}

    static asio::awaitable<commit_outcome> write(std::shared_ptr<implementation> self,
                                                 std::vector<replica_row> rows) {
        auto const now = std::chrono::steady_clock::now();
        if (!self->delegate || now >= self->delegated_until) {
            auto outcome = co_await self->write_to_store(rows);
            auto const* failed = std::get_if<error>(&outcome);
            if (failed == nullptr || !self->delegate) {
                co_return outcome;
            }
            self->delegated_until = std::chrono::steady_clock::now() + delegation_time;
            log::write(log::level::info, "rows_written_by_other_node",
                       {{"ip", self->delegate->ip}, {"reason", describe(*failed)}});
        }
        co_return co_await self->write_via(*self->delegate, std::move(rows));
    }

    static asio::awaitable<commit_outcome> write_shared(std::shared_ptr<implementation> self,
                                                        std::vector<replica_row> rows,
                                                        delegation use) {
        if (self->delegate && use == delegation::allowed) {
            auto outcome = co_await self->write_via(*self->delegate, rows);
            if (!std::holds_alternative<error>(outcome)) {
                co_return outcome;
            }
        }
        if (std::chrono::steady_clock::now() < self->store_retried_at) {
            co_return error{result_code::platform_unavailable,
                            "the store did not take the last write of this node"};
        }
        auto outcome = co_await self->batch.write(std::move(rows));
        self->observe_write(outcome);
        co_return outcome;
    }

    // All nodes with a change would otherwise try a lost store at the rate of their own retries.
    void observe_write(commit_outcome const& outcome) {
        if (std::holds_alternative<error>(outcome)) {
            this->store_retried_at = std::chrono::steady_clock::now() +
                                     this->backoff.next(store_role::relying, this->random);
        } else {
            this->backoff.reset();
            this->store_retried_at = {};
        }
    }

    asio::awaitable<commit_outcome> write_to_store(std::vector<replica_row> rows) {
        store_transaction transaction;
        transaction.writes = to_store_rows(std::move(rows));
        co_return co_await this->store.commit(std::move(transaction),
                                              std::chrono::steady_clock::now() + commit_timeout);
    }

    asio::awaitable<commit_outcome> write_via(peer_source node, std::vector<replica_row> rows) {
        exchange_options options;
        options.connect_timeout = delegate_connect_timeout;
        socket_address const address{node.ip, this->port};
        auto const outcome = co_await this->connections.exchange(
            address, write_commit_request(rows),
            std::chrono::steady_clock::now() + commit_timeout + answer_margin, options);
        auto const* answer = std::get_if<http_response>(&outcome);
        if (answer == nullptr) {
            this->delegate.reset();
            co_return error{result_code::platform_answer_lost,
                            std::get<exchange_failure>(outcome).reason.message};
        }
        auto written = read_commit_outcome(*answer);
        if (std::holds_alternative<error>(written)) {
            this->delegate.reset();
        }
        co_return written;
    }

    connection_pool& connections;
    store_client& store;
    std::uint16_t port;
    std::optional<peer_source> delegate;
    steady_time delegated_until;
    /// After a failed write to the store, the next one of this node's own rows.
    steady_time store_retried_at;
    store_backoff backoff;
    random_source random = make_random_source();
    row_batch batch;
};

row_writer::row_writer(asio::io_context& context, connection_pool& connections, store_client& store,
                       std::uint16_t port)
    : self(std::make_shared<implementation>(context, connections, store, port)) {}

row_writer::~row_writer() = default;

void row_writer::set_delegate(peer_source delegate) {
    this->self->delegate = std::move(delegate);
}

asio::awaitable<commit_outcome> row_writer::write(std::vector<replica_row> rows) {
    return implementation::write(this->self, std::move(rows));
}

asio::awaitable<commit_outcome> row_writer::write_shared(std::vector<replica_row> rows,
                                                         delegation use) {
    return implementation::write_shared(this->self, std::move(rows), use);
}

asio::awaitable<commit_outcome> row_writer::write_combined(std::vector<replica_row> rows) {
    return this->self->batch.write(std::move(rows));
}

} // namespace peridot
