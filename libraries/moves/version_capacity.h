#pragma once

#include <cstdint>

namespace peridot {

/// Total slots of the serving endpoints of each of a move's two target versions, in the node's
/// view.
struct version_capacity {
    std::uint64_t old_slots = 0;
    std::uint64_t new_slots = 0;
};

} // namespace peridot
