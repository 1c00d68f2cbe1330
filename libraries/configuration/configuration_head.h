#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

/// Identifies the newest accepted version. Stored as the value of the row "head".
struct configuration_head {
    std::uint64_t version = 0;
    std::string manifest_hash;
    /// Identifies the edit that created the version. After a lost answer, it shows whether the edit
    /// took effect.
    std::string edit;

    bool operator==(configuration_head const&) const = default;
};

result<configuration_head> parse_head(std::string_view text);
std::string serialize(configuration_head const& head);

} // namespace peridot
