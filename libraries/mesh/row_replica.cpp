#include "mesh/row_replica.h"

#include <algorithm>
#include <set>

namespace peridot {

namespace {

// The row was removed at this revision at the latest. Setting it makes the removal visible to nodes
// that replicate from this one.
void mark_removed(replica_row& row, store_revision revision) {
    row.revision = revision;
    row.is_removed = true;
    row.value.clear();
}

} // namespace

bool row_replica::apply(replica_row row) {
    auto const key = std::pair(row.table, row.key);
    auto const found = this->rows_by_key.find(key);
    if (found != this->rows_by_key.end() && found->second.revision >= row.revision) {
        return false;
    }
    this->rows_by_key[key] = std::move(row);
    return true;
}

bool row_replica::replace_table(std::string_view table, std::vector<replica_row> rows,
                                store_revision revision) {
    auto& era = this->eras[std::string(table)];
    era = std::max(era, revision.era);
    std::set<std::string> present_keys;
    bool is_changed = false;
    for (auto& row : rows) {
        present_keys.insert(row.key);
        is_changed |= this->apply(std::move(row));
    }
    for (auto& [key, row] : this->rows_by_key) {
        if (key.first == table && !row.is_removed && row.revision <= revision &&
            !present_keys.contains(key.second)) {
            mark_removed(row, revision);
            is_changed = true;
        }
    }
    return is_changed;
}

bool row_replica::complete_table(std::string_view table, store_revision revision) {
    auto& era = this->eras[std::string(table)];
    if (revision.era <= era) {
        return false;
    }
    era = revision.era;
    bool is_changed = false;
    for (auto& [key, row] : this->rows_by_key) {
        if (key.first == table && !row.is_removed && row.revision.era < revision.era) {
            mark_removed(row, revision);
            is_changed = true;
        }
    }
    return is_changed;
}

std::uint64_t row_replica::era(std::string_view table) const {
    auto const found = this->eras.find(table);
    return found == this->eras.end() ? 0 : found->second;
}

replica_row const* row_replica::find(std::string_view table, std::string_view key) const {
    auto const found = this->rows_by_key.find(std::pair(std::string(table), std::string(key)));
    return found == this->rows_by_key.end() || found->second.is_removed ? nullptr : &found->second;
}

std::vector<replica_row const*> row_replica::rows(std::string_view table,
                                                  std::string_view prefix) const {
    std::vector<replica_row const*> found;
    for (auto const& [key, row] : this->rows_by_key) {
        if (key.first == table && key.second.starts_with(prefix) && !row.is_removed) {
            found.push_back(&row);
        }
    }
    return found;
}

std::vector<replica_row const*> row_replica::rows_after(std::string_view table,
                                                        store_revision revision) const {
    std::vector<replica_row const*> found;
    for (auto const& [key, row] : this->rows_by_key) {
        if (key.first == table && row.revision > revision) {
            found.push_back(&row);
        }
    }
    return found;
}

} // namespace peridot
