#pragma once

#include "core/result.h"
#include "core/socket_address.h"

#include <cstddef>
#include <memory>

namespace peridot {

struct node_parts;

/// One worker thread of a node: serves callers and other nodes on an io_context of its own.
class node_worker {
public:
    /// The parts must outlive the worker. Its number says which ring of the span buffer is its own.
    node_worker(node_parts const& parts, std::size_t number);
    ~node_worker();
    node_worker(node_worker const&) = delete;
    node_worker& operator=(node_worker const&) = delete;
    node_worker(node_worker&&) = delete;
    node_worker& operator=(node_worker&&) = delete;

    /// Listen for callers and for other nodes; called before start(). Each gives the address bound
    /// to.
    result<socket_address> listen_for_calls(socket_address const& address);
    result<socket_address> listen_for_peers(socket_address const& address);

    void start();
    /// Ends each connection with its next answer; new connections are still taken.
    void close_after_next_response();
    /// Takes no new connections and closes the idle ones.
    void close_connections();
    /// Ends the thread; requests that are still in flight are dropped.
    void stop();

    /// Requests whose answers are not written yet; safe from any thread.
    std::size_t requests_in_flight() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
