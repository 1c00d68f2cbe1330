#include "sidecar/row_writer.h"

#include "core/log.h"
#include "http/connection_pool.h"
#include "platform/store_client.h"
#include "sidecar/commit_message.h"
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
    implementation(connection_pool& pool, store_client& client, std::uint16_t control_port)
        : connections(pool), store(client), port(control_port) {}

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
};

row_writer::row_writer(connection_pool& connections, store_client& store, std::uint16_t port)
    : self(std::make_shared<implementation>(connections, store, port)) {}

row_writer::~row_writer() = default;

void row_writer::set_delegate(peer_source delegate) {
    this->self->delegate = std::move(delegate);
}

asio::awaitable<commit_outcome> row_writer::write(std::vector<replica_row> rows) {
    return implementation::write(this->self, std::move(rows));
}

asio::awaitable<commit_outcome> row_writer::write_to_store(std::vector<replica_row> rows) {
    return this->self->write_to_store(std::move(rows));
}

} // namespace peridot
