#pragma once

#include "core/time.h"
#include "mesh/replica_row.h"
#include "mesh/row_source.h"
#include "platform/store_commit.h"
#include "sidecar/delegation.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace peridot {

class connection_pool;
class store_client;

/// Writes rows to the store, by itself or through a node that follows the store. Runs on the
/// control thread.
class row_writer {
public:
    /// The port is the control port for state exchange, which is the same on every node.
    row_writer(boost::asio::io_context& context, connection_pool& connections, store_client& store,
               std::uint16_t port);
    ~row_writer();
    row_writer(row_writer const&) = delete;
    row_writer& operator=(row_writer const&) = delete;
    row_writer(row_writer&&) = delete;
    row_writer& operator=(row_writer&&) = delete;

    /// Sets a node that follows the store and can write on behalf of this one.
    void set_delegate(peer_source delegate);

    /// Writes rows in one transaction, on the condition that they have the given revisions. The
    /// condition makes it safe to repeat the write through another node, even after a lost
    /// response. Uses another node only while the store does not serve this one.
    boost::asio::awaitable<commit_outcome> write(std::vector<replica_row> rows);

    /// Writes rows as above, through the node that follows the store if there is one and it may be
    /// used. Either way they are combined with those of other nodes. While neither that node nor
    /// the store takes them, most calls fail without asking the store.
    boost::asio::awaitable<commit_outcome> write_shared(std::vector<replica_row> rows,
                                                        delegation use);

    /// Writes rows of other nodes to the store, combined with those that arrive at the same time.
    boost::asio::awaitable<commit_outcome> write_combined(std::vector<replica_row> rows);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
