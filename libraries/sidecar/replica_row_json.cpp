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
    row.revision = object.at("revision").to_number<std::uint64_t>();
    row.is_removed = object.at("removed").as_bool();
    return row;
}

} // namespace

json::array to_json(std::vector<replica_row> const& rows) {
    json::array list;
    for (auto const& row : rows) {
        list.push_back({{"table", row.table},
                        {"key", row.key},
                        {"value", row.value},
                        {"revision", row.revision},
                        {"removed", row.is_removed}});
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
