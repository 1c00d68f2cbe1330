#pragma once

#include <cstdint>
#include <string_view>

namespace peridot {

/// What a target has announced of itself.
enum class target_state : std::uint8_t { ready, draining, gone };

/// The state's name in records and log lines.
std::string_view name(target_state state);

} // namespace peridot
