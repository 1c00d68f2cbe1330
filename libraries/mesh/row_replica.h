#pragma once

#include "mesh/replica_row.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridot {

/// A node's copy of the rows that it routes by, from the store or from other nodes.
///
/// The revision of each row decides, so that rows may arrive in any order and more than once, and a
/// row never goes back to an older value. A removed row is kept as such for the same reason.
class row_replica {
public:
    /// Takes a row in; whether it was newer than the known one.
    bool apply(replica_row row);

    /// Takes in all rows of a table as of a revision. Rows that are no longer there and were not
    /// written later count as removed. Whether anything changed.
    bool replace_table(std::string_view table, std::vector<replica_row> rows,
                       std::uint64_t revision);

    /// Null if there is no such row.
    replica_row const* find(std::string_view table, std::string_view key) const;

    /// The rows of a table whose keys begin with the prefix.
    std::vector<replica_row const*> rows(std::string_view table, std::string_view prefix) const;

    /// The rows of the table above the revision, removed ones included.
    std::vector<replica_row const*> rows_after(std::string_view table,
                                               std::uint64_t revision) const;

private:
    std::map<std::pair<std::string, std::string>, replica_row, std::less<>> rows_by_key;
};

} // namespace peridot
