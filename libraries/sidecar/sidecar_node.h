#pragma once

#include "core/result.h"

#include <memory>

namespace peridot {

struct sidecar_settings;

/// The sidecar process of a target. It routes requests that originate on its instance, forwards
/// requests from all nodes to the target, and maintains a replica of the data that requests are
/// routed by.
///
/// The data thread carries requests. The control thread communicates with the store, receives
/// announcements from the target, and exchanges state with other nodes; it publishes the state that
/// the data thread reads without locks.
class sidecar_node {
public:
    static result<std::unique_ptr<sidecar_node>> create(sidecar_settings const& settings);
    ~sidecar_node();
    sidecar_node(sidecar_node const&) = delete;
    sidecar_node& operator=(sidecar_node const&) = delete;
    sidecar_node(sidecar_node&&) = delete;
    sidecar_node& operator=(sidecar_node&&) = delete;

    /// Returns after a planned stop.
    void run();

private:
    class implementation;
    explicit sidecar_node(std::unique_ptr<implementation> implementation);
    std::unique_ptr<implementation> self;
};

} // namespace peridot
