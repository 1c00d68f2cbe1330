#pragma once

#include <cstdint>
#include <string_view>

namespace peridot {

/// State that a target has announced.
enum class target_state : std::uint8_t { ready, draining, gone };

/// Returns the name of the state in records and log lines.
std::string_view name(target_state state);

} // namespace peridot
