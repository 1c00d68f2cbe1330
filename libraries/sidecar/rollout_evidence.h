#pragma once

#include "core/boot_clock.h"
#include "core/rcu_cell.h"
#include "mesh/fleet_view.h"
#include "moves/route_evidence.h"

#include <memory>
#include <string>

namespace peridot {

class observed_request;
class request_observer;

/// Counts the requests at the node's own target during a roll-out of its service. Runs on the data
/// thread.
class rollout_evidence {
public:
    rollout_evidence(rcu_cell<fleet_view> const& views, std::string service);
    ~rollout_evidence();
    rollout_evidence(rollout_evidence const&) = delete;
    rollout_evidence& operator=(rollout_evidence const&) = delete;
    rollout_evidence(rollout_evidence&&) = delete;
    rollout_evidence& operator=(rollout_evidence&&) = delete;

    /// Starts to observe a request that is passed on to the target, which runs the given version.
    /// The pressure is the percentage of the target's slots in use.
    std::shared_ptr<observed_request> start(std::string route, std::string const& version,
                                            unsigned pressure, boot_time now);

    /// Returns the counts for the roll-out with that id; empty for any other id.
    evidence_by_route counts(std::string const& id, boot_time now) const;

private:
    rcu_cell<fleet_view> const& views;
    std::string service;
    std::shared_ptr<request_observer> observer;
};

} // namespace peridot
