#include "distribution/lease.h"

#include "configuration/json_reader.h"

#include <boost/json.hpp>

#include <limits>

namespace peridot {

namespace json = boost::json;

result<lease> parse_lease(table_row const& row) {
    lease read;
    read.revision = row.revision;
    if (row.revision == 0) {
        return read;
    }
    boost::system::error_code failed;
    auto const document = json::parse(row.value, failed);
    json_reader reader(document, "lease", result_code::platform_answer_malformed);
    constexpr std::uint64_t largest = std::numeric_limits<std::int64_t>::max() / 1'000'000;
    read.holder = reader.text("holder");
    read.epoch = reader.integer("epoch", 1, std::numeric_limits<std::int64_t>::max());
    read.expires = wall_time(milliseconds(reader.integer("expires", 0, largest)));
    auto const outcome = reader.finish();
    if (!is_ok(outcome)) {
        return failure(outcome);
    }
    return read;
}

std::string serialize(lease const& held) {
    auto const expires =
        std::chrono::duration_cast<milliseconds>(held.expires.time_since_epoch()).count();
    return json::serialize(
        json::object{{"holder", held.holder}, {"epoch", held.epoch}, {"expires", expires}});
}

} // namespace peridot
