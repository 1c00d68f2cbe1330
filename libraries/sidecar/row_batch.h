#pragma once

#include "mesh/replica_row.h"
#include "platform/store_commit.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace peridot {

/// Combines transactions that are requested at nearly the same time into one call to the store.
///
/// Answers the load pattern in which the targets of a release, or all targets after a restart of
/// the fleet, are recorded at once: one call for each of them would cost as many calls as there are
/// nodes. Each transaction still takes effect or fails by itself: if a combined one meets a
/// conflict, its parts are written one by one.
class row_batch {
public:
    using write_function =
        std::function<boost::asio::awaitable<commit_outcome>(std::vector<replica_row>)>;

    row_batch(boost::asio::io_context& context, write_function write);
    ~row_batch();
    row_batch(row_batch const&) = delete;
    row_batch& operator=(row_batch const&) = delete;
    row_batch(row_batch&&) = delete;
    row_batch& operator=(row_batch&&) = delete;

    /// Writes the rows in one transaction, on the condition that they have the given revisions.
    boost::asio::awaitable<commit_outcome> write(std::vector<replica_row> rows);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
