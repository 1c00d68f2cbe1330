#pragma once

#include "core/boot_clock.h"
#include "core/random_source.h"
#include "mesh/gate_load.h"
#include "mesh/member.h"
#include "mesh/target_choice.h"
#include "mesh/target_observation.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridot {

/// Selects the member for the next attempt of a request, based on what this node has observed.
///
/// The selection handles load that is uneven across availability zones, targets of different speed,
/// and single targets that fail or slow down. The local availability zone is preferred, since
/// traffic between zones costs time and money. A member in another zone is tried when the local
/// ones are expected or found to be unable to respond in time. Within a zone, the member with the
/// earliest expected response is selected, based on its wait and on the service time of its target.
/// Members are first required to respond within the target latency. Only if none can, the one with
/// the shortest wait is required to respond by the deadline.
///
/// Targets that state their pace are compared by load_estimate instead, which answers many nodes
/// that choose at the same moment by old reports, and short slowdowns. Without a pace nothing
/// changes.
///
/// Not thread-safe. The current time and the random source are passed as arguments.
class target_selector {
public:
    explicit target_selector(std::string availability_zone);
    ~target_selector();
    target_selector(target_selector const&) = delete;
    target_selector& operator=(target_selector const&) = delete;
    target_selector(target_selector&&) = delete;
    target_selector& operator=(target_selector&&) = delete;

    /// Outcomes of earlier attempts of one request.
    struct attempt_history {
        /// Instances that must not get the request again.
        std::set<std::string> excluded;
        /// Instances that could not respond in time.
        std::set<std::string> busy;
    };

    /// Returns the member for the next attempt among the candidates, or no value if none is left.
    std::optional<target_choice> choose(std::vector<member const*> const& candidates,
                                        std::string const& route, attempt_history const& history,
                                        boot_time now, random_source& random);

    /// Counts a request to the member as in flight until finish() is called.
    void start(std::string const& instance);
    void finish(std::string const& instance);

    /// Records the result of an attempt.
    void observe(std::string const& instance, target_observation observation, boot_time now);
    /// Records the load and the service time for the route that a member reported.
    void observe_load(std::string const& instance, std::string const& route, gate_load const& load,
                      boot_time now);
    /// Records that a request of the route has been waiting for the member for this long without a
    /// response.
    void observe_unanswered(std::string const& instance, std::string const& route,
                            milliseconds waited, boot_time now);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
