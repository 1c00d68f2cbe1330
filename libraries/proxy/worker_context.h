#pragma once

#include <cstddef>

namespace peridot {

class connection_pool;
class endpoint_directory;
class span_buffer;
class table_client;
struct node_state;
struct request_metrics;
template<typename T>
class rcu_cell;

/// What the proxies of one worker share. Everything outlives the worker.
struct worker_context {
    node_state const& state;
    rcu_cell<endpoint_directory> const& directory;
    connection_pool& connections;
    table_client& table;
    request_metrics& metrics;
    span_buffer& spans;
    /// Number of the worker, which owns one ring of the span buffer.
    std::size_t worker = 0;
};

} // namespace peridot
