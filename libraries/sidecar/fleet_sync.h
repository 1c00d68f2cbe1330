#pragma once

#include "core/rcu_cell.h"
#include "core/result.h"
#include "core/time.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/fleet_view.h"
#include "mesh/replica_row.h"
#include "platform/store_commit.h"
#include "sidecar/commit_path.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

class connection_pool;
class row_replica;
class store_client;
class store_clock;
struct sidecar_settings;

/// Keeps this node's replica of the fleet's rows up to date, either from the store's feed or from a
/// node of the same availability zone that follows the feed. Runs on the control thread.
class fleet_sync {
public:
    fleet_sync(boost::asio::io_context& context, connection_pool& connections, store_client& store,
               rcu_cell<fleet_view>& views, sidecar_settings const& settings);
    ~fleet_sync();
    fleet_sync(fleet_sync const&) = delete;
    fleet_sync& operator=(fleet_sync const&) = delete;
    fleet_sync(fleet_sync&&) = delete;
    fleet_sync& operator=(fleet_sync&&) = delete;

    /// Called after each change of the view, and once the members have been read.
    void set_change_handler(std::function<void()> handler);

    void start();

    /// Adds a node that can be queried while the store is unavailable.
    void add_contact(std::string const& ip);

    /// Queries a node that holds a newer configuration, unless the configuration arrives through
    /// the regular source first.
    void request_configuration(std::string const& ip, std::uint64_t version);

    /// The revision on which the next write of a row has to be conditional. A row that was read in
    /// an earlier era of the store counts as missing: if the store has it, the conflict shows it.
    store_revision condition(std::string_view table, std::string_view key) const;

    /// Writes rows in one transaction, on the condition that they have the given revisions. Written
    /// and conflicting rows are applied to the replica.
    boost::asio::awaitable<commit_outcome> commit(std::vector<replica_row> rows, commit_path path);

    row_replica const& rows() const;
    /// Whether the members have been read, from the store or from another node.
    bool has_read_members() const;
    /// Whether the members have been read, or the store is unavailable.
    bool is_initial_read_over() const;

    /// The store's clock, or no value before the first response of the store, or of a node that
    /// knows it.
    std::optional<milliseconds> store_time() const;

    store_clock const& clock() const;

    /// Responds to another node's row query as soon as newer rows than it holds are available or
    /// its wait time has elapsed.
    boost::asio::awaitable<http_response> answer_rows(http_request request);

    /// Writes rows to the store on behalf of another node.
    boost::asio::awaitable<http_response> answer_commit(http_request request);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
