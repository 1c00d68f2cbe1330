#pragma once

#include "core/result.h"
#include "mesh/member.h"

#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// Encodes the record that a node publishes in the store for other nodes.
std::string encode_member(member const& record);

/// The revision is not part of the text.
result<member> decode_member(std::string_view text);

/// Encodes a target for a message to another node. Decoding returns no value for text without a
/// valid target.
std::string encode_target(target_record const& target);
std::optional<target_record> decode_target(std::string_view text);

} // namespace peridot
