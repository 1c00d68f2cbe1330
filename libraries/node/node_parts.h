#pragma once

#include "core/socket_address.h"

#include <boost/asio/io_context.hpp>

namespace peridot {

class distribution_agent;
class lease_keeper;
class membership_agent;
class metric_registry;
class peer_service;
class span_buffer;
struct distribution_counters;
struct node_state;
struct request_metrics;

/// The parts of a node that its workers and its admin interface use. All outlive their users.
struct node_parts {
    /// Of the control thread, which owns the target's admission queue.
    boost::asio::io_context& control;
    node_state& state;
    membership_agent& members;
    distribution_agent& distribution;
    distribution_counters const& counters;
    peer_service const& peers;
    lease_keeper const& lease;
    metric_registry const& registry;
    request_metrics& metrics;
    span_buffer& spans;
    socket_address platform;
};

} // namespace peridot
