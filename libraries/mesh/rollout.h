#pragma once

#include "core/time.h"
#include "mesh/rollout_phase.h"
#include "mesh/store_revision.h"

#include <cstdint>
#include <string>

namespace peridot {

/// A rollout of a service to a target version, with its progress.
struct rollout {
    std::string service;
    std::string to;
    /// The version in force before the rollout; empty if it is unknown.
    std::string from;
    milliseconds duration{0};
    /// Identifies the operator's order: the revision at which it was found first. A later order for
    /// the same service has a higher one.
    store_revision order;
    rollout_phase phase = rollout_phase::running;
    /// Index of the current step in the plan.
    unsigned step = 0;
    /// Share of the service's requests that the new version gets, from 0 to 1.
    double share = 0;
    /// Start time on the store's clock.
    milliseconds started{0};
    /// The era of the store's clock at the start.
    std::uint64_t started_era = 0;
    /// Where the order is in the store now; another place once the store came back from a copy.
    store_revision ordered_at;

    bool operator==(rollout const&) const = default;
};

} // namespace peridot
