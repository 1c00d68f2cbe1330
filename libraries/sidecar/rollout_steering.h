#pragma once

#include "core/rcu_cell.h"
#include "http/http_request.h"
#include "http/http_response.h"
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

/// Brings the roll-outs of the node's own service to an end: complete, or rolled back.
///
/// Every gate of the service counts how its target does and sends the counts to one node, the first
/// of the service's members that answers. That node judges the new version against the old one and
/// writes each step under the condition that the row is as it knows it, so two nodes that both take
/// themselves for the first cannot undo each other. A verdict against the version also goes back to
/// the gates at once; they refuse further requests even while the store is out. Lives on the
/// control thread.
class rollout_steering {
public:
    /// What a node needs from its other parts.
    struct callbacks {
        /// The counts of the own gate for a roll-out, by its id.
        std::function<boost::asio::awaitable<evidence_by_route>(std::string)> evidence;
        /// A version of the own service that the gate may not give requests any more.
        std::function<void(std::string)> block_version;
    };

    rollout_steering(boost::asio::io_context& context, connection_pool& connections,
                     fleet_sync& fleet, rcu_cell<fleet_view> const& views, std::string instance,
                     std::string service, std::uint16_t port, callbacks handlers);
    ~rollout_steering();
    rollout_steering(rollout_steering const&) = delete;
    rollout_steering& operator=(rollout_steering const&) = delete;
    rollout_steering(rollout_steering&&) = delete;
    rollout_steering& operator=(rollout_steering&&) = delete;

    void start();

    /// Takes the evidence of another node in; the answer tells whether the version is condemned.
    http_response accept_evidence(http_request const& request);

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
