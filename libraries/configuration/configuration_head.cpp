#include "configuration/configuration_head.h"

#include "configuration/json_reader.h"

#include <boost/json.hpp>

#include <limits>

namespace peridot {

namespace json = boost::json;

result<configuration_head> parse_head(std::string_view text) {
    boost::system::error_code failed;
    auto const document = json::parse(text, failed);
    if (failed) {
        return error{result_code::head_malformed, "not JSON: " + failed.message()};
    }
    json_reader reader(document, "", result_code::head_malformed);
    configuration_head head;
    head.version = reader.integer("version", 1, std::numeric_limits<std::uint64_t>::max());
    head.manifest_hash = reader.text("manifest");
    head.edit = reader.text("edit");
    auto const outcome = reader.finish();
    if (!is_ok(outcome)) {
        return failure(outcome);
    }
    return head;
}

std::string serialize(configuration_head const& head) {
    return json::serialize(json::object{
        {"version", head.version}, {"manifest", head.manifest_hash}, {"edit", head.edit}});
}

} // namespace peridot
