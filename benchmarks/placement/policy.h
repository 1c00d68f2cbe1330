#pragma once

#include "scenario.h"

#include "core/random_source.h"
#include "mesh/gate_load.h"
#include "mesh/member.h"
#include "mesh/target_selector.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridot::placement {

/// One node's choice of targets.
class policy {
public:
    policy() = default;
    virtual ~policy() = default;
    policy(policy const&) = delete;
    policy& operator=(policy const&) = delete;
    policy(policy&&) = delete;
    policy& operator=(policy&&) = delete;

    virtual std::optional<target_choice> choose(std::string const& route,
                                                target_selector::attempt_history const& history,
                                                boot_time now, random_source& random) = 0;
    virtual void start(std::size_t target) = 0;
    virtual void finish(std::size_t target) = 0;
    virtual void observe_refusal(std::size_t target, boot_time now) = 0;
    virtual void observe_load(std::size_t target, std::string const& route, gate_load const& load,
                              boot_time now) = 0;
};

/// Creates the policy of the node with the given number.
std::unique_ptr<policy> make_policy(strategy kind, std::vector<member> const& members,
                                    std::size_t node, std::string const& zone);

} // namespace peridot::placement
