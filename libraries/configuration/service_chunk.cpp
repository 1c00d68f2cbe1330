#include "configuration/service_chunk.h"

#include "configuration/json_reader.h"
#include "configuration/names.h"

#include <boost/json.hpp>

namespace peridot {

namespace json = boost::json;

result<service_chunk> parse_service_chunk(std::string_view text) {
    boost::system::error_code failed;
    auto const document = json::parse(text, failed);
    if (failed) {
        return error{result_code::chunk_malformed, "not JSON: " + failed.message()};
    }
    json_reader reader(document, "", result_code::chunk_malformed);
    service_chunk chunk;
    chunk.service = reader.text("service");
    chunk.target_version = reader.text("target_version");
    if (reader.has("move")) {
        chunk.move = json::serialize(reader.object("move"));
    }
    if (!is_valid_name(chunk.service) || !is_valid_name(chunk.target_version)) {
        reader.reject("service", "or target_version is not a valid name");
    }
    auto const outcome = reader.finish();
    if (!is_ok(outcome)) {
        return failure(outcome);
    }
    return chunk;
}

std::string serialize(service_chunk const& chunk) {
    json::object object{{"service", chunk.service}, {"target_version", chunk.target_version}};
    if (!chunk.move.empty()) {
        boost::system::error_code failed;
        object["move"] = json::parse(chunk.move, failed);
    }
    return json::serialize(object);
}

} // namespace peridot
