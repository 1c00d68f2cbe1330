#pragma once

#include "core/result.h"
#include "mesh/rollout.h"

#include <string>
#include <string_view>

namespace peridot {

/// Encodes the state of a roll-out as stored by the nodes.
std::string encode_rollout(rollout const& current);

result<rollout> decode_rollout(std::string_view text);

} // namespace peridot
