#pragma once

#include "core/result.h"
#include "core/time.h"
#include "moves/ramp_step.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Parses a duration such as 90s, 15m, 2h, 3d or 500ms.
result<milliseconds> parse_duration(std::string_view text);

/// Parses a time: +DURATION relative to now, or UTC in the form 2026-12-04T18:00:00Z.
result<wall_time> parse_time(std::string const& text, wall_time now);

/// Parses a ramp such as 1@0,10@30,100@70. Each step is a share and the time from which it is
/// allowed; both are percentages, the time of the span from the start to the agreed time.
result<std::vector<ramp_step>> parse_ramp(std::string const& text, wall_time start,
                                          wall_time done_by);

/// Formats a time as UTC, such as 2026-12-04T18:00:00Z.
std::string format_time(std::int64_t milliseconds_since_epoch);

} // namespace peridot
