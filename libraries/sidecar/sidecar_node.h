#pragma once

#include "core/result.h"

#include <memory>

namespace peridot {

struct sidecar_settings;

/// The process beside a target: it takes the requests that begin on its instance, passes requests
/// of all nodes on to the target, and keeps its own copy of what they are routed by.
///
/// One thread carries the requests. Another one talks to the store, to the target about itself, and
/// to other nodes about state; it publishes what the first one reads without locks.
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
