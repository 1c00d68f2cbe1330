#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace peridot {

/// The revision up to which a node holds every row of a table, by table.
using table_revisions = std::map<std::string, std::uint64_t, std::less<>>;

/// What a node asks another one about rows.
struct row_query {
    /// What the asking node holds already.
    table_revisions held;
    /// How long the answer may be kept back until there is something newer.
    milliseconds max_wait{0};
    /// Only the revisions are wanted; rows cost bytes between availability zones.
    bool is_revisions_only = false;
};

} // namespace peridot
