#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace peridot {

/// Compresses with Zstandard at compression level 1, the fastest of the standard levels.
std::string compress(std::string_view plain);

/// Decompresses a Zstandard frame. Fails with platform_record_malformed if the input is not a
/// complete frame or if its content exceeds max_bytes.
result<std::string> decompress(std::string_view compressed, std::size_t max_bytes);

} // namespace peridot
