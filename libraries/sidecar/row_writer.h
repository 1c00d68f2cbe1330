#pragma once

#include "core/time.h"
#include "mesh/replica_row.h"
#include "mesh/row_source.h"
#include "platform/store_commit.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace peridot {

class connection_pool;
class store_client;

/// Writes rows to the store, or through another node while the store does not serve this one. Runs
/// on the control thread.
class row_writer {
public:
    /// The port is the control port for state exchange, which is the same on every node.
    row_writer(connection_pool& connections, store_client& store, std::uint16_t port);
    ~row_writer();
    row_writer(row_writer const&) = delete;
    row_writer& operator=(row_writer const&) = delete;
    row_writer(row_writer&&) = delete;
    row_writer& operator=(row_writer&&) = delete;

    /// Sets a node that follows the store and can write on behalf of this one.
    void set_delegate(peer_source delegate);

    /// Writes rows in one transaction, on the condition that they have the given revisions. The
    /// condition makes it safe to repeat the write through another node, even after a lost
    /// response.
    boost::asio::awaitable<commit_outcome> write(std::vector<replica_row> rows);

    /// Writes rows to the store directly, without another node.
    boost::asio::awaitable<commit_outcome> write_to_store(std::vector<replica_row> rows);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
