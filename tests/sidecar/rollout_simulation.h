#pragma once

#include "core/time.h"
#include "mesh/rollout_phase.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridot::tests {

/// Requests of one route, with lognormal latencies (sigma 0.5).
struct simulated_route {
    std::string name;
    double per_second = 0;
    milliseconds median{0};
    /// Time after which the target answers that it could not finish.
    milliseconds deadline{0};
};

/// A roll-out and the behaviour of its new version.
struct simulated_rollout {
    std::vector<simulated_route> routes;
    milliseconds duration{16'000};
    /// Share of the new version's requests that are slower by the factor.
    double slow_share = 0;
    double slowness = 1;
    /// Share of the new version's requests that fail at once.
    double failure_share = 0;
    /// Share from which the version is bad, and the time from the start.
    double bad_from_share = 0;
    milliseconds bad_from{0};
    /// Factor by which the new version is slower during its first two seconds.
    double cold_slowness = 1;
    /// Factor by which both versions are slower from 6 to 9 s.
    double dependency_slowness = 1;
    /// Share of the requests to both versions that fail at once during the time, since a dependency
    /// fails or the answers are lost.
    double dependency_failures = 0;
    milliseconds dependency_fails_from{0};
    milliseconds dependency_fails_until{0};
    /// Time from the start during which no target of the new version can be reached, so that its
    /// requests fall back to the old one.
    milliseconds unreachable_from{0};
    milliseconds unreachable_until{0};
    /// Share of the callers that leave after the time if there is no answer.
    double leaving_share = 0;
    milliseconds leaves_after{0};
};

/// What became of a simulated roll-out.
struct simulated_outcome {
    rollout_phase phase = rollout_phase::running;
    /// When the phase ended, from the start.
    milliseconds ended{0};
    /// Requests that failed because the new version is bad.
    double failed = 0;
    /// When the 50th of them was sent; no value if there were fewer.
    std::optional<milliseconds> many_failed_at;
    /// Requests of the service until the deadline, and those that the new version got. A version
    /// that was completed gets all requests from then on.
    double requests = 0;
    double exposed = 0;
};

/// Plays a roll-out with the controller and the observer of the sidecar on a manual clock.
simulated_outcome simulate(simulated_rollout const& given, std::uint64_t seed);

} // namespace peridot::tests
