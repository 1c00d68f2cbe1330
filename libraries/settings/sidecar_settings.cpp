#include "settings/sidecar_settings.h"

#include "settings/checked_document.h"
#include "settings/settings_reader.h"
#include "settings/settings_schema.h"

namespace peridot {

namespace {

constexpr std::string_view schema_text = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "ip", "availability_zone", "service", "target", "calls", "peers", "ready",
               "heartbeats", "control_port", "store"],
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 200},
    "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}
  },
  "properties": {
    "instance": {"$ref": "#/definitions/name"},
    "ip": {"type": "string", "minLength": 2, "maxLength": 45},
    "availability_zone": {"$ref": "#/definitions/name"},
    "service": {"$ref": "#/definitions/name"},
    "target": {"$ref": "#/definitions/address"},
    "calls": {"$ref": "#/definitions/address"},
    "peers": {"$ref": "#/definitions/address"},
    "ready": {"$ref": "#/definitions/address"},
    "heartbeats": {"$ref": "#/definitions/address"},
    "control_port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "store": {"$ref": "#/definitions/address"},
    "processor_share": {"type": "number", "minimum": 0},
    "memory_mb": {"type": "number", "minimum": 16},
    "max_descriptors": {"type": "integer", "minimum": 256, "maximum": 1048576},
    "link_mbps": {"type": "number", "minimum": 0.1},
    "seeds": {"type": "array", "maxItems": 64, "items": {"type": "string"}},
    "bounds": {"type": "object", "additionalProperties": {"type": ["number", "boolean", "string", "null"]}},
    "log_level": {"type": "string", "enum": ["debug", "info", "warning", "error"]}
  }
})json";

settings_schema const& schema() {
    static settings_schema const compiled(schema_text);
    return compiled;
}

result<sidecar_settings> convert_document(checked_document const& document, std::string_view name) {
    return convert_settings(document, name, [](settings_reader& reader) {
        sidecar_settings settings;
        settings.instance = reader.text("instance");
        settings.ip = reader.ip("ip");
        settings.availability_zone = reader.text("availability_zone");
        settings.service = reader.text("service");
        settings.target = reader.address_text("target");
        settings.calls = reader.address_text("calls");
        settings.peers = reader.address_text("peers");
        settings.ready = reader.address_text("ready");
        settings.heartbeats = reader.address_text("heartbeats");
        settings.control_port = reader.port("control_port");
        settings.store = reader.address_text("store");
        settings.processor_share = reader.real("processor_share", settings.processor_share);
        if (reader.has("memory_mb")) {
            settings.memory_mb = reader.real("memory_mb", 0);
        }
        if (reader.has("max_descriptors")) {
            settings.max_descriptors = reader.number("max_descriptors", 0);
        }
        if (reader.has("link_mbps")) {
            settings.link_mbps = reader.real("link_mbps", 0);
        }
        if (reader.has("seeds")) {
            settings.seeds = reader.strings("seeds");
        }
        if (reader.has("bounds")) {
            settings.bounds = reader.numbers("bounds");
        }
        settings.log_level = reader.log_level();
        return settings;
    });
}

} // namespace

result<sidecar_settings> parse_sidecar_settings(std::string_view text, std::string_view name) {
    return convert_document(check_document(text, name, schema()), name);
}

result<sidecar_settings> load_sidecar_settings(std::filesystem::path const& file) {
    return convert_document(read_checked_document(file, schema()), file.string());
}

} // namespace peridot
