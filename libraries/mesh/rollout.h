#pragma once

#include "core/time.h"
#include "mesh/rollout_phase.h"

#include <cstdint>
#include <string>

namespace peridot {

/// A roll-out of a service to a target version, and how far it has come.
struct rollout {
    std::string service;
    std::string to;
    /// The version in force before; empty if nothing is known of it.
    std::string from;
    milliseconds duration{0};
    /// Revision of the operator's order; a later order for the service has a higher one.
    std::uint64_t order = 0;
    rollout_phase phase = rollout_phase::running;
    /// Index into the steps of the plan.
    unsigned step = 0;
    /// Share of the service's requests that the new version gets, 0 to 1.
    double share = 0;
    /// Start on the store's clock.
    milliseconds started{0};

    bool operator==(rollout const&) const = default;
};

} // namespace peridot
