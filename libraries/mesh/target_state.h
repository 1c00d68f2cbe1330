#pragma once

#include <cstdint>
#include <string_view>

namespace peridot {

/// State of a target: as it has announced, or `unreachable` while its node can neither connect to
/// it nor gets announcements from it.
enum class target_state : std::uint8_t { ready, unreachable, draining, gone };

/// Whether the target's node passes requests on to it. An unreachable target may be back already.
inline bool is_in_service(target_state state) {
    return state == target_state::ready || state == target_state::unreachable;
}

/// How far a target has come in leaving: 0 while it is in service, 2 once it is gone. A process of
/// a target does not go back to an earlier stage.
int leaving_stage(target_state state);

/// Returns the name of the state in records and log lines.
std::string_view name(target_state state);

} // namespace peridot
