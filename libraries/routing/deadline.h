#pragma once

#include "core/result.h"
#include "core/time.h"

#include <string>
#include <string_view>

namespace peridot {

/// The longest time left that a header may state. Longer work is outside the request path.
inline constexpr milliseconds max_time_left = std::chrono::minutes(10);

/// Time each hop keeps for itself, so that its own refusal reaches the caller before the caller's
/// deadline. 11 hops take 11 ms of a request's time.
inline constexpr milliseconds default_hop_margin{1};

/// The end of a request on this node's steady clock. Only durations travel between nodes, so clocks
/// need not agree.
struct deadline {
    steady_time at;
};

/// Reads Peridot-Deadline-Ms: decimal digits only, at most max_time_left.
result<milliseconds> parse_time_left(std::string_view text);

/// Text for Peridot-Deadline-Ms. Rounds down, so a hop never gains time; negative becomes "0".
std::string format_time_left(nanoseconds left);

/// The deadline of a request that arrived now with this much time left.
deadline deadline_after(steady_time now, nanoseconds left);

/// Time until the deadline, never negative.
nanoseconds time_left(deadline const& end, steady_time now);

/// What the next hop gets: the time left less this hop's margin, never negative.
nanoseconds time_left_for_next_hop(deadline const& end, steady_time now,
                                   nanoseconds margin = default_hop_margin);

/// Whether the request's time is over, so that it must not be dispatched.
bool is_expired(deadline const& end, steady_time now);

} // namespace peridot
