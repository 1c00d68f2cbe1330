#pragma once

#include "core/rcu_cell.h"
#include "core/result.h"
#include "core/time.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/fleet_view.h"
#include "mesh/replica_row.h"
#include "platform/store_commit.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

class connection_pool;
class row_replica;
class store_client;

/// Keeps a node's copy of the fleet's rows current: from the store's feed, and from other nodes
/// while the store does not serve this one. Lives on the control thread.
class fleet_sync {
public:
    /// The port is that of state exchange, the same on every node.
    fleet_sync(boost::asio::io_context& context, connection_pool& connections, store_client& store,
               rcu_cell<fleet_view>& views, std::string own_ip, std::uint16_t port);
    ~fleet_sync();
    fleet_sync(fleet_sync const&) = delete;
    fleet_sync& operator=(fleet_sync const&) = delete;
    fleet_sync(fleet_sync&&) = delete;
    fleet_sync& operator=(fleet_sync&&) = delete;

    /// Called after each change of the view.
    void set_change_handler(std::function<void()> handler);

    void start();

    /// Learns of a node that may be asked while the store is out.
    void add_contact(std::string const& ip);

    /// Asks a node that holds something newer, if the store does not serve this node.
    void ask(std::string const& ip);

    /// Writes rows together under the condition that they have the revisions given. The copy takes
    /// the written and the conflicting rows in.
    boost::asio::awaitable<commit_outcome> commit(std::vector<replica_row> rows);

    row_replica const& rows() const;

    /// The store's clock; no value before its first answer.
    std::optional<milliseconds> store_time() const;

    /// The rows that another node asks for.
    http_response answer_rows(http_request const& request) const;

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
