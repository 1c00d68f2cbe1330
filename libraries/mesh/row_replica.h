#pragma once

#include "mesh/replica_row.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridot {

/// A node's replica of the rows that it routes by, received from the store or from other nodes.
///
/// Updates are ordered by the revision of each row, so they may arrive in any order and more than
/// once, and a row never reverts to an older value of the same era of the store. Removed rows are
/// kept as tombstones for the same reason.
class row_replica {
public:
    /// Applies a row. Returns whether it was newer than the stored one.
    bool apply(replica_row row);

    /// Replaces a table by all its rows as of a revision. Stored rows that are missing and were not
    /// written later are marked as removed. Returns whether anything changed.
    bool replace_table(std::string_view table, std::vector<replica_row> rows,
                       store_revision revision);

    /// Notes that the table's rows are complete up to a revision. If it belongs to a later era,
    /// rows that were only received in earlier ones are marked as removed, since the store has lost
    /// them. Returns whether anything changed.
    bool complete_table(std::string_view table, store_revision revision);

    /// The latest era in which the table's rows are complete.
    std::uint64_t era(std::string_view table) const;

    /// Returns null if there is no such row.
    replica_row const* find(std::string_view table, std::string_view key) const;

    /// Returns the rows of a table whose keys start with the prefix.
    std::vector<replica_row const*> rows(std::string_view table, std::string_view prefix) const;

    /// Returns the rows of the table above the revision, including removed ones.
    std::vector<replica_row const*> rows_after(std::string_view table,
                                               store_revision revision) const;

private:
    std::map<std::pair<std::string, std::string>, replica_row, std::less<>> rows_by_key;
    std::map<std::string, std::uint64_t, std::less<>> eras;
};

} // namespace peridot
