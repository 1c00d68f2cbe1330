#pragma once

#include <cstdint>
#include <string>

namespace peridot {

/// The result of an edit that took effect.
struct accepted_edit {
    std::uint64_t version = 0;
    std::string manifest_hash;
    std::string edit_id;
    /// Number of times that the edit was planned again because of a conflicting commit.
    std::uint32_t rebases = 0;
};

} // namespace peridot
