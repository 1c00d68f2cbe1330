#pragma once

#include "core/time.h"
#include "mesh/store_revision.h"

#include <map>
#include <string>

namespace peridot {

/// For each table, the revision up to which a node holds all rows.
using table_revisions = std::map<std::string, store_revision, std::less<>>;

/// A query for rows that one node sends to another.
struct row_query {
    /// The revisions that the querying node already holds.
    table_revisions held;
    /// Maximum time to delay the response while there are no newer rows.
    milliseconds max_wait{0};
    /// Only the revisions are requested; transferring rows is expensive between availability zones.
    bool is_revisions_only = false;
};

} // namespace peridot
