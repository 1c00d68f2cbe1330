#pragma once

#include "core/rcu_cell.h"
#include "mesh/fleet_view.h"
#include "moves/route_evidence.h"
#include "sidecar/target_result.h"

#include <memory>
#include <string>

namespace peridot {

/// Counts the results of the node's own target during a roll-out of its service. Runs on the data
/// thread.
class rollout_evidence {
public:
    rollout_evidence(rcu_cell<fleet_view> const& views, std::string service);
    ~rollout_evidence();
    rollout_evidence(rollout_evidence const&) = delete;
    rollout_evidence& operator=(rollout_evidence const&) = delete;
    rollout_evidence(rollout_evidence&&) = delete;
    rollout_evidence& operator=(rollout_evidence&&) = delete;

    void record(target_result const& observed);

    /// Returns the counts for the roll-out with that id; empty for any other id.
    evidence_by_route counts(std::string const& id) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
