#pragma once

#include "configuration/configuration_snapshot.h"
#include "core/rcu_cell.h"

#include <mutex>

namespace peridot {

/// Stores the configuration version that a node currently uses. Readers on the request path access
/// it without locking.
class snapshot_store {
public:
    using snapshot_pointer = std::shared_ptr<configuration_snapshot const>;

    /// Returns the held version, or nullptr if none has been applied yet.
    snapshot_pointer current() const { return this->active.load(); }

    /// Replaces the held version. Fails with version_not_newer unless the next version is greater.
    status apply(snapshot_pointer next);

private:
    rcu_cell<configuration_snapshot> active;
    std::mutex writer_mutex;
};

} // namespace peridot
