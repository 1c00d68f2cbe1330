#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace peridot {

class configuration_snapshot;
struct contract;

/// The contract of the workspace that an Authorization field ("Bearer <workspace>.<secret>")
/// proves. Unknown workspaces and wrong secrets give the same error. The secret never enters a
/// message.
result<contract const*> authenticate(configuration_snapshot const& snapshot,
                                     std::string_view authorization);

} // namespace peridot
