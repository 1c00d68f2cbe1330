#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace peridot {

/// Compresses with Zstandard at its fastest level.
std::string compress(std::string_view plain);

/// Fails for bytes that are no whole Zstandard frame, and for a content above the limit.
result<std::string> decompress(std::string_view compressed, std::size_t max_bytes);

} // namespace peridot
