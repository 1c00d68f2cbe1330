#pragma once

#include "core/result.h"
#include "core/time.h"
#include "moves/ramp_step.h"

#include <cstddef>
#include <string>
#include <vector>

namespace peridot {

/// The plan of a move, which shifts a service's traffic from one target version to another by a
/// deadline.
struct move_plan {
    /// Every datagram with the move's state contains the id, so its length is bounded.
    static constexpr std::size_t maximum_id_length = 32;
    static constexpr std::size_t maximum_steps = 16;
    /// Shorter moves leave no time to detect a bad version before it receives all traffic.
    static constexpr seconds minimum_duration{10};
    static constexpr std::chrono::hours maximum_duration{24 * 31};

    std::string id;
    std::string service;
    std::string from;
    std::string to;
    wall_time start;
    /// The deadline by which all requests are sent to the new version.
    wall_time done_by;
    /// Shares and times increase; the last share is 1.
    std::vector<ramp_step> ramp;
    /// How long the new version is judged after the deadline.
    milliseconds watch{0};

    bool operator==(move_plan const&) const = default;
};

/// Validates a plan. Invalid names and shares result in move_malformed, invalid times in
/// move_time_impossible.
status validate(move_plan const& plan);

/// Validates a new plan, whose deadline must be at least the minimum duration after the present
/// time.
status validate_new(move_plan const& plan, wall_time now);

} // namespace peridot
