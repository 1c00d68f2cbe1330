#pragma once

#include "core/rcu_cell.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/exposure_limits.h"
#include "mesh/fleet_view.h"
#include "moves/route_evidence.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peridot {

class connection_pool;
class fleet_sync;

/// Drives roll-outs of the node's own service until they are complete or rolled back.
///
/// Each gate of the service counts the results of its target and sends the counts to one node, the
/// first reachable member of the service. That node judges the new version against the old one and
/// writes each step on the condition that the row still has the last revision it has read, so two
/// nodes that both act as the first member cannot overwrite each other's steps. A verdict against
/// the version is also sent directly to the gates, which then refuse further requests even while
/// the store is unavailable, until the recorded roll-out ends. A gate that knows the verdict passes
/// it on to the node that steers next. A member that does not know the roll-out or the store's
/// clock refuses evidence, so that the next member steers. Runs on the control thread.
class rollout_steering {
public:
    /// Functions provided by other components of the node.
    struct callbacks {
        /// Returns the counts of the local gate for the roll-out with the given id.
        std::function<boost::asio::awaitable<evidence_by_route>(std::string)> evidence;
        /// Sets the version of the node's service that the gate refuses; an empty text for none.
        std::function<void(std::string)> set_blocked_version;
        /// Reports whether this node should steer a roll-out and cannot.
        std::function<void(bool)> set_unfit_to_steer;
    };

    rollout_steering(boost::asio::io_context& context, connection_pool& connections,
                     fleet_sync& fleet, rcu_cell<fleet_view> const& views, std::string instance,
                     std::string service, std::uint16_t port, exposure_limits limits,
                     callbacks handlers);
    ~rollout_steering();
    rollout_steering(rollout_steering const&) = delete;
    rollout_steering& operator=(rollout_steering const&) = delete;
    rollout_steering(rollout_steering&&) = delete;
    rollout_steering& operator=(rollout_steering&&) = delete;

    void start();

    /// Called after each change of the rows.
    void rows_changed();

    /// Stores evidence from another node, or a verdict of the node that steers the roll-out. The
    /// response to evidence states whether the version is condemned; its status is 400 if this node
    /// cannot use the message.
    http_response accept(http_request const& request);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
