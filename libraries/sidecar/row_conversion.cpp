#include "sidecar/row_conversion.h"

namespace peridot {

namespace {

// Both types have the same fields in the same order but are defined by different libraries.
template<typename To, typename From>
std::vector<To> converted(std::vector<From> rows) {
    std::vector<To> made;
    made.reserve(rows.size());
    for (auto& row : rows) {
        made.push_back({std::move(row.table), std::move(row.key), std::move(row.value),
                        row.revision, row.is_removed});
    }
    return made;
}

} // namespace

std::vector<replica_row> to_replica_rows(std::vector<store_row> rows) {
    return converted<replica_row>(std::move(rows));
}

std::vector<store_row> to_store_rows(std::vector<replica_row> rows) {
    return converted<store_row>(std::move(rows));
}

} // namespace peridot
