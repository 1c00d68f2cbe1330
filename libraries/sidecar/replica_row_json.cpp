#include "sidecar/replica_row_json.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

namespace json = boost::json;

replica_row read_row(json::value const& item) {
    auto const& object = item.as_object();
    replica_row row;
    row.table = object.at("table").as_string();
    row.key = object.at("key").as_string();
    row.value = object.at("value").as_string();
    row.revision = read_revision(object);
    row.is_removed = object.at("removed").as_bool();
    return row;
}

} // namespace

void add_revision(json::object& object, store_revision revision) {
    object["revision"] = revision.number;
    if (revision.era != 0) {
        object["era"] = revision.era;
    }
}

store_revision read_revision(json::object const& object) {
    auto const* era = object.if_contains("era");
    return {era == nullptr ? 0 : era->to_number<std::uint64_t>(),
            object.at("revision").to_number<std::uint64_t>()};
}

json::array to_json(std::vector<replica_row> const& rows) {
    json::array list;
    for (auto const& row : rows) {
        json::object written{{"table", row.table},
                             {"key", row.key},
                             {"value", row.value},
                             {"removed", row.is_removed}};
        add_revision(written, row.revision);
        list.push_back(std::move(written));
    }
    return list;
}

std::vector<replica_row> read_replica_rows(json::value const& list) {
    std::vector<replica_row> rows;
    for (auto const& item : list.as_array()) {
        rows.push_back(read_row(item));
    }
    return rows;
}

} // namespace peridot
