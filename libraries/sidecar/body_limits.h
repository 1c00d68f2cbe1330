#pragma once

#include <cstddef>

namespace peridot {

/// A response's body up to this size is received whole before any of it is passed on, so that the
/// request can still be sent elsewhere if the transfer fails. Larger bodies are passed on in parts.
inline constexpr std::size_t max_whole_body_bytes = std::size_t{256} * 1024;

} // namespace peridot
