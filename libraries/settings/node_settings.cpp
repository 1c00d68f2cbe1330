#include "settings/node_settings.h"

#include "settings/checked_document.h"
#include "settings/settings_reader.h"
#include "settings/settings_schema.h"

#include <boost/json.hpp>

namespace peridot {

namespace {

constexpr std::string_view schema_text = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "ip", "availability_zone", "region", "platform"],
  "definitions": {
    "name": {"type": "string", "maxLength": 63, "pattern": "^[a-z0-9][a-z0-9._-]*$"},
    "ip": {"type": "string", "minLength": 2, "maxLength": 45},
    "listen_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "address": {
      "type": "object",
      "additionalProperties": false,
      "required": ["ip", "port"],
      "properties": {
        "ip": {"$ref": "#/definitions/ip"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    }
  },
  "properties": {
    "instance": {"$ref": "#/definitions/name"},
    "ip": {"$ref": "#/definitions/ip"},
    "availability_zone": {"$ref": "#/definitions/name"},
    "region": {"$ref": "#/definitions/name"},
    "platform": {"$ref": "#/definitions/address"},
    "seeds": {
      "type": "array",
      "maxItems": 64,
      "items": {"$ref": "#/definitions/address"}
    },
    "ports": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "calls": {"$ref": "#/definitions/listen_port"},
        "peers": {"$ref": "#/definitions/listen_port"},
        "gossip": {"$ref": "#/definitions/listen_port"},
        "admin": {"$ref": "#/definitions/listen_port"}
      }
    },
    "workers": {"type": "integer", "minimum": 1, "maximum": 16},
    "drain_time_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "scope": {
      "type": "array",
      "minItems": 1,
      "maxItems": 256,
      "items": {"$ref": "#/definitions/name"}
    },
    "trace_collector": {"$ref": "#/definitions/address"},
    "log_level": {"type": "string", "enum": ["debug", "info", "warning", "error"]}
  }
})json";

settings_schema const& schema() {
    static settings_schema const compiled(schema_text);
    return compiled;
}

node_ports ports_of(settings_reader const& reader) {
    return {reader.port("calls"), reader.port("peers"), reader.port("gossip"),
            reader.port("admin")};
}

result<node_settings> convert_document(checked_document const& document, std::string_view name) {
    return convert_settings(document, name, [&document](settings_reader& reader) {
        node_settings settings;
        settings.instance = reader.text("instance");
        settings.ip = reader.ip("ip");
        settings.availability_zone = reader.text("availability_zone");
        settings.region = reader.text("region");
        settings.platform = reader.address("platform");
        settings.seeds = reader.addresses("seeds");
        if (reader.has("ports")) {
            auto const& root = std::get_if<boost::json::value>(&document)->get_object();
            settings.ports = ports_of(settings_reader(root.at("ports").get_object()));
        }
        settings.workers = reader.number("workers", settings.workers);
        settings.drain_time = reader.time("drain_time_ms", settings.drain_time);
        if (reader.has("scope")) {
            settings.scope = reader.strings("scope");
        }
        settings.trace_collector = reader.optional_address("trace_collector");
        settings.log_level = reader.log_level();
        return settings;
    });
}

} // namespace

std::string_view node_settings_schema() {
    return schema_text;
}

result<node_settings> parse_node_settings(std::string_view text, std::string_view name) {
    return convert_document(check_document(text, name, schema()), name);
}

result<node_settings> load_node_settings(std::filesystem::path const& file) {
    return convert_document(read_checked_document(file, schema()), file.string());
}

} // namespace peridot
