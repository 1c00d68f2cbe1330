#pragma once

#include "core/result.h"
#include "core/time.h"
#include "mesh/replica_row.h"
#include "mesh/store_role.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridot {

class store_client;

/// Reads one table of the store and follows its changes. Runs on the control thread.
class table_feed {
public:
    /// Receivers of the rows and of the store's clock.
    struct handlers {
        /// Called with all rows of the table as of a revision.
        std::function<void(std::vector<replica_row>, store_revision revision)> replace;
        /// Called with rows that have changed.
        std::function<void(std::vector<replica_row>)> apply;
        std::function<void(std::uint64_t era, milliseconds)> observe_store_time;
        /// Called when the store has stopped responding.
        std::function<void()> store_lost;
    };

    /// A leading node waits for a change at most for the given time. Each wait ends with a
    /// response, so a leading node detects a silent store this time and one round trip later at the
    /// latest.
    table_feed(boost::asio::io_context& context, store_client& store, std::string table,
               milliseconds changes_wait, handlers callbacks);
    ~table_feed();
    table_feed(table_feed const&) = delete;
    table_feed& operator=(table_feed const&) = delete;
    table_feed(table_feed&&) = delete;
    table_feed& operator=(table_feed&&) = delete;

    enum class step_kind : std::uint8_t { snapshot_read, changes_read, no_changes, failed };

    /// Performs one step: reads the whole table, or waits for its next changes. A failed step
    /// includes a backoff that grows with each failure.
    boost::asio::awaitable<step_kind> step(store_role role);

    /// Advances to a revision up to which the rows were received from another source.
    void advance_to(store_revision revision);

    /// Notes that the store is in the given era. The table is read as a whole if its rows are those
    /// of an earlier one.
    void observe_era(std::uint64_t era);

    /// Whether a step waits for changes after a position of an earlier era.
    bool is_waiting_in_ended_era() const;

    /// Reads the whole table beside a step that waits.
    boost::asio::awaitable<void> read_again();

    /// Whether the table has been read. An empty table may have no revision.
    bool has_snapshot() const;

    /// The revision up to which the table's rows have been read.
    store_revision revision() const;

    /// Whether the store has not responded for some time.
    bool is_unavailable(steady_time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
