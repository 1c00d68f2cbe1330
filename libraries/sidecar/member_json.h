#pragma once

#include "core/result.h"
#include "mesh/member.h"

#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// The record that a node keeps in the store for others.
std::string encode_member(member const& record);

/// The revision is not part of the text.
result<member> decode_member(std::string_view text);

/// The target as a node tells of it to another one; no value for a text that names none.
std::string encode_target(target_record const& target);
std::optional<target_record> decode_target(std::string_view text);

} // namespace peridot
