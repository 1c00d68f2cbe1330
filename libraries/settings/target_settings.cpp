#include "settings/target_settings.h"

#include "settings/checked_document.h"
#include "settings/settings_reader.h"
#include "settings/settings_schema.h"

namespace peridot {

namespace {

constexpr std::string_view schema_text = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["ip", "service", "target_version", "node_admin"],
  "properties": {
    "ip": {"type": "string", "minLength": 2, "maxLength": 45},
    "port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "service": {"type": "string", "maxLength": 63, "pattern": "^[a-z0-9][a-z0-9._-]*$"},
    "target_version": {"type": "string", "maxLength": 63, "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$"},
    "node_admin": {
      "type": "object",
      "additionalProperties": false,
      "required": ["ip", "port"],
      "properties": {
        "ip": {"type": "string", "minLength": 2, "maxLength": 45},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    },
    "slots": {"type": "integer", "minimum": 1, "maximum": 10000},
    "cold_start_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "service_time_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
    "log_level": {"type": "string", "enum": ["debug", "info", "warning", "error"]}
  }
})json";

settings_schema const& schema() {
    static settings_schema const compiled(schema_text);
    return compiled;
}

result<target_settings> convert_document(checked_document const& document, std::string_view name) {
    return convert_settings(document, name, [](settings_reader& reader) {
        target_settings settings;
        settings.listen = reader.ip_and_port();
        settings.service = reader.text("service");
        settings.target_version = reader.text("target_version");
        settings.node_admin = reader.address("node_admin");
        settings.slots = reader.number("slots", settings.slots);
        settings.cold_start = reader.time("cold_start_ms", settings.cold_start);
        settings.service_time = reader.time("service_time_ms", settings.service_time);
        settings.log_level = reader.log_level();
        return settings;
    });
}

} // namespace

std::string_view target_settings_schema() {
    return schema_text;
}

result<target_settings> parse_target_settings(std::string_view text, std::string_view name) {
    return convert_document(check_document(text, name, schema()), name);
}

result<target_settings> load_target_settings(std::filesystem::path const& file) {
    return convert_document(read_checked_document(file, schema()), file.string());
}

} // namespace peridot
