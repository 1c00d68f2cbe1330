#pragma once

#include "configuration/configuration_snapshot.h"
#include "core/rcu_cell.h"

#include <mutex>

namespace peridot {

/// The version that a node holds. Readers on the request path take it without a lock.
class snapshot_store {
public:
    using snapshot_pointer = std::shared_ptr<configuration_snapshot const>;

    /// The held version, or nullptr before the first.
    snapshot_pointer current() const { return this->active.load(); }

    /// Replaces the held version; version_not_newer unless the next one is greater.
    status apply(snapshot_pointer next);

private:
    rcu_cell<configuration_snapshot> active;
    std::mutex writer_mutex;
};

} // namespace peridot
