#pragma once

#include "core/result.h"
#include "core/time.h"

#include <string>
#include <string_view>

namespace peridot {

/// The greatest remaining time that a header may state. Longer operations do not belong on the
/// request path.
inline constexpr milliseconds max_time_left = std::chrono::minutes(10);

/// Time that each hop deducts from the deadline, so that its error response reaches the caller
/// before the caller's own deadline. With 11 hops this takes 11 ms of a request's time.
inline constexpr milliseconds default_hop_margin{1};

/// The deadline of a request on this node's steady clock. Nodes exchange only durations, so their
/// clocks need not be synchronized.
struct deadline {
    steady_time at;
};

/// Parses the Peridot-Deadline-Ms header: decimal digits only, at most max_time_left.
result<milliseconds> parse_time_left(std::string_view text);

/// Formats the Peridot-Deadline-Ms header. Rounds down, so that no hop gains time; a negative value
/// becomes "0".
std::string format_time_left(nanoseconds left);

/// Returns the deadline of a request that arrived now with the given remaining time.
deadline deadline_after(steady_time now, nanoseconds left);

/// Returns the time until the deadline, never negative.
nanoseconds time_left(deadline const& end, steady_time now);

/// Returns the remaining time to send to the next hop: the time until the deadline minus this hop's
/// margin, never negative.
nanoseconds time_left_for_next_hop(deadline const& end, steady_time now,
                                   nanoseconds margin = default_hop_margin);

/// Whether the deadline has passed, so that the request must not be dispatched.
bool is_expired(deadline const& end, steady_time now);

} // namespace peridot
