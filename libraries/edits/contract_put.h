#pragma once

#include "configuration/contract.h"

#include <cstdint>
#include <optional>

namespace peridot {

/// Sets a workspace's contract.
struct contract_put {
    contract terms;
    /// Revision of the contract's row that the operator started from; absent: the one found first.
    std::optional<std::uint64_t> base_revision;
};

} // namespace peridot
