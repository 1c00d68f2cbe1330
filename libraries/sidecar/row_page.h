#pragma once

#include "core/time.h"
#include "mesh/replica_row.h"
#include "sidecar/row_query.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace peridot {

/// A node's response to a row query.
struct row_page {
    /// Together with the rows that the querying node already holds, the rows are complete up to
    /// these revisions.
    table_revisions covered;
    /// Whether the responding node follows the store's feed.
    bool is_current = false;
    std::vector<replica_row> rows;
    /// The store's clock when the page was written; no value if the responding node does not know
    /// it.
    std::optional<milliseconds> store_time;
    /// The era of the store's clock.
    std::uint64_t clock_era = 0;

    bool operator==(row_page const&) const = default;
};

} // namespace peridot
