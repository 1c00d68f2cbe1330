#pragma once

#include <cstdint>

namespace peridot {

/// Creates a new version with the contracts of an earlier version. The target versions of services
/// do not change, because only moves shift traffic.
struct version_revert {
    std::uint64_t version = 0;
};

} // namespace peridot
