#pragma once

#include <cstdint>
#include <string>

namespace peridot {

/// Precondition of a transaction: the row must have this revision; 0 requires that it does not
/// exist.
struct row_condition {
    std::string key;
    std::uint64_t revision = 0;
};

} // namespace peridot
