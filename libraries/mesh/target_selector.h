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

/// Chooses the member that a request is tried at next, from what this node has seen of each.
///
/// It answers load that is uneven over availability zones, targets that differ in speed, and
/// targets that fail or slow down one by one. The own availability zone comes first, since bytes
/// between zones cost time and money, and a member elsewhere is tried when those near by are known
/// or found to be unable to answer in time. Within a zone the member that is expected to answer
/// first is chosen: its wait and the time that its target takes count alike. Members are first
/// asked for an answer in time; only when none can give it, the one with the shortest wait is asked
/// for an answer by the deadline.
///
/// One thread uses it; the time and the random source are arguments.
class target_selector {
public:
    explicit target_selector(std::string availability_zone);
    ~target_selector();
    target_selector(target_selector const&) = delete;
    target_selector& operator=(target_selector const&) = delete;
    target_selector(target_selector&&) = delete;
    target_selector& operator=(target_selector&&) = delete;

    /// What has been tried for one request.
    struct attempt_history {
        /// Instances that may not get the request again.
        std::set<std::string> excluded;
        /// Instances that could not answer in time.
        std::set<std::string> busy;
    };

    /// The next member to try among the given ones; no value when none is left.
    std::optional<target_choice> choose(std::vector<member const*> const& candidates,
                                        std::string const& route, attempt_history const& history,
                                        boot_time now, random_source& random);

    /// Counts a request on its way to the member.
    void start(std::string const& instance);
    void finish(std::string const& instance);

    /// Learns from an attempt.
    void observe(std::string const& instance, target_observation observation, boot_time now);
    /// Takes note of what a member tells of its load and of its time for requests of the route.
    void observe_load(std::string const& instance, std::string const& route, gate_load const& load,
                      boot_time now);
    /// A request of the route has waited for the member's answer this long, in vain so far.
    void observe_unanswered(std::string const& instance, std::string const& route,
                            milliseconds waited, boot_time now);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
