#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// Wraps an encoded message with a checksum. The UDP checksum is optional and weak, and protobuf
/// decodes many corrupted messages as different valid messages.
std::string seal(std::string body);

/// Returns the wrapped message, or nothing if the bytes do not match the checksum.
std::optional<std::string> unseal(std::string_view bytes);

} // namespace peridot
