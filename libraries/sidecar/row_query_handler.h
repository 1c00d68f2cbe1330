#pragma once

#include "core/time.h"
#include "http/http_response.h"
#include "sidecar/row_query.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace peridot {

class row_replica;

/// Answers other nodes' row queries from the local replica. Runs on the control thread.
class row_query_handler {
public:
    /// State of the local replica.
    struct copy_state {
        table_revisions covered;
        /// Whether this node follows the store's feed and the store is available to it.
        bool is_current = false;
        /// The store's clock; no value if this node does not know it.
        std::optional<milliseconds> store_time;
        /// The era of the store's clock.
        std::uint64_t clock_era = 0;
    };
    using state_function = std::function<copy_state()>;

    row_query_handler(boost::asio::io_context& context, row_replica const& replica,
                      state_function state);
    ~row_query_handler();
    row_query_handler(row_query_handler const&) = delete;
    row_query_handler& operator=(row_query_handler const&) = delete;
    row_query_handler(row_query_handler&&) = delete;
    row_query_handler& operator=(row_query_handler&&) = delete;

    /// Notifies pending queries that rows of the replica have changed.
    void notify();

    /// Delays the response until rows newer than those of the querying node are available, for at
    /// most the requested wait time and only while this node is current. The object must outlive
    /// the response.
    boost::asio::awaitable<http_response> answer(row_query query);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
