#pragma once

#include "core/rcu_cell.h"
#include "core/result.h"
#include "core/socket_address.h"
#include "mesh/fleet_view.h"
#include "quotas/quota_decision.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace peridot {

struct sidecar_metrics;

/// Admits requests within the quotas of their workspaces over the whole fleet.
///
/// Workspaces are spread over a few pools, each at one node. Every node delegates its share of the
/// quotas to these and borrows tokens when a request needs one, both by datagrams. A node that gets
/// no answer turns to the next one in the pool's order. Bound to one io_context and not
/// thread-safe.
class quota_agent {
public:
    /// `own` is the address for datagrams; the port is the same on all nodes. `tolerated_excess` is
    /// the number of requests by which a workspace may exceed its quota in a window.
    quota_agent(boost::asio::io_context& context, std::string instance, socket_address own,
                double tolerated_excess, rcu_cell<fleet_view> const& views,
                sidecar_metrics& metrics);
    ~quota_agent();
    quota_agent(quota_agent const&) = delete;
    quota_agent& operator=(quota_agent const&) = delete;
    quota_agent(quota_agent&&) = delete;
    quota_agent& operator=(quota_agent&&) = delete;

    status listen();

    /// Takes over the quotas and the nodes of the current view. Without quotas, the agent is idle.
    void view_changed();

    /// Decides on a request; waits for an answer of a pool if the node holds no token.
    boost::asio::awaitable<quota_decision> acquire(std::string const& workspace);

    /// Returns the token of a request that has reached no target.
    void give_back(quota_token const& token);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
