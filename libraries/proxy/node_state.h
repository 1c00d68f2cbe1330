#pragma once

#include "configuration/snapshot_store.h"
#include "core/rcu_cell.h"
#include "proxy/limit_table.h"
#include "proxy/local_target.h"
#include "proxy/move_table.h"
#include "proxy/subset_table.h"

#include <atomic>
#include <string>

namespace peridot {

/// What the request path reads of its node. The control thread writes it; workers only read.
struct node_state {
    std::string instance;
    std::string availability_zone;
    snapshot_store snapshots;
    rcu_cell<local_target> target;
    rcu_cell<limit_table> limits{std::make_shared<limit_table const>()};
    rcu_cell<subset_table> subsets{std::make_shared<subset_table const>()};
    rcu_cell<move_table> moves{std::make_shared<move_table const>()};
    /// Set after start-up and after a confirmed version; new work is refused while it is false.
    std::atomic<bool> is_ready{false};
    std::atomic<bool> is_draining{false};
};

} // namespace peridot
