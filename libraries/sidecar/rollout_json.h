#pragma once

#include "core/result.h"
#include "mesh/rollout.h"

#include <string>
#include <string_view>

namespace peridot {

/// The state of a roll-out as the nodes keep it in the store.
std::string encode_rollout(rollout const& current);

result<rollout> decode_rollout(std::string_view text);

} // namespace peridot
