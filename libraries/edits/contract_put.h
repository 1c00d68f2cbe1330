#pragma once

#include "configuration/contract.h"

#include <cstdint>
#include <optional>

namespace peridot {

/// Creates or replaces the contract of a workspace.
struct contract_put {
    contract terms;
    /// Revision of the contract's row that the edit is based on. If absent, the revision that the
    /// first attempt reads is used.
    std::optional<std::uint64_t> base_revision;
};

} // namespace peridot
