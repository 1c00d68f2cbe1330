#pragma once

#include "core/rcu_cell.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/fleet_view.h"
#include "platform/bounds.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peridot {

class connection_pool;
class quota_agent;
class response_link;
class target_gate;
struct sidecar_metrics;

/// Identity of a node as used for requests that originate on its instance.
struct node_identity {
    std::string instance;
    std::string ip;
    std::string availability_zone;
    /// The service that is reported as the caller of requests from this instance.
    std::string service;
    /// The port on which every node accepts requests from other nodes.
    std::uint16_t peer_port = 0;
};

/// Routes a request from a caller on this instance to a target and returns the response.
///
/// A request is offered to one member after another until one accepts it. A non-idempotent request
/// is retried only if the member states that the request did not run. Bound to one io_context and
/// not thread-safe.
class call_entry {
public:
    /// Called when another node reports a newer configuration version than the local one.
    using newer_configuration_handler =
        std::function<void(std::string const& ip, std::uint64_t version)>;

    call_entry(node_identity identity, deployment_bounds const& bounds,
               rcu_cell<fleet_view> const& views, connection_pool& connections, target_gate& gate,
               quota_agent& quotas, response_link& link, sidecar_metrics& metrics,
               newer_configuration_handler report_newer_configuration);
    ~call_entry();
    call_entry(call_entry const&) = delete;
    call_entry& operator=(call_entry const&) = delete;
    call_entry(call_entry&&) = delete;
    call_entry& operator=(call_entry&&) = delete;

    boost::asio::awaitable<http_response> respond(http_request request);

    /// From now on, a request whose handler is cancelled is answered with an unknown outcome.
    /// Otherwise a cancelled handler sends no response, since cancellation means that the caller
    /// has disconnected.
    void abort_requests();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
