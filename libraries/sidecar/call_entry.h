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
class target_gate;
struct sidecar_metrics;

/// Who a node is to the requests that begin on its instance.
struct node_identity {
    std::string instance;
    std::string ip;
    std::string availability_zone;
    /// The service that requests of this instance are said to come from.
    std::string service;
    /// The port on which every node takes requests of other nodes.
    std::uint16_t peer_port = 0;
};

/// The path of a request from a caller on this instance to a target and back.
///
/// A request is offered to one member after another until one takes it. Only a member's own
/// statement that the request did not run allows a further try of a non-idempotent request. Lives
/// on one io_context and is used from its thread only.
class call_entry {
public:
    /// Called when another node holds a newer configuration than this one.
    using newer_configuration_handler =
        std::function<void(std::string const& ip, std::uint64_t version)>;

    call_entry(node_identity identity, deployment_bounds const& bounds,
               rcu_cell<fleet_view> const& views, connection_pool& connections, target_gate& gate,
               sidecar_metrics& metrics, newer_configuration_handler report_newer_configuration);
    ~call_entry();
    call_entry(call_entry const&) = delete;
    call_entry& operator=(call_entry const&) = delete;
    call_entry(call_entry&&) = delete;
    call_entry& operator=(call_entry&&) = delete;

    boost::asio::awaitable<http_response> respond(http_request request);

    /// From now on a request whose handler is cancelled is answered as one of unknown outcome.
    /// Without this a cancelled handler gives no answer, since its caller has left.
    void abort_requests();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
