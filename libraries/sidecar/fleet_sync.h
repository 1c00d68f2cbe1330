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

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot {

class connection_pool;
class row_replica;
class store_client;
struct sidecar_settings;

/// Keeps a node's copy of the fleet's rows current: from the store's feed, or from a node of the
/// availability zone that follows it. Lives on the control thread.
class fleet_sync {
public:
    fleet_sync(boost::asio::io_context& context, connection_pool& connections, store_client& store,
               rcu_cell<fleet_view>& views, sidecar_settings const& settings);
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

    /// Asks a node that holds a newer configuration, unless it arrives by itself within moments.
    void request_configuration(std::string const& ip, std::uint64_t version);

    /// Writes rows together under the condition that they have the revisions given. The copy takes
    /// the written and the conflicting rows in.
    boost::asio::awaitable<commit_outcome> commit(std::vector<replica_row> rows);

    row_replica const& rows() const;
    /// Whether the store's rows have been read, or the store does not answer.
    bool is_initial_read_over() const;

    /// The store's clock; no value before its first answer.
    std::optional<milliseconds> store_time() const;

    /// Answers another node's question about rows, as soon as there is something newer than it
    /// holds or the time that it allows is over.
    boost::asio::awaitable<http_response> answer_rows(http_request request);

    /// Writes rows to the store for another node.
    boost::asio::awaitable<http_response> answer_commit(http_request request);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
