#include "settings/platform_settings.h"

#include "settings/checked_document.h"
#include "settings/settings_reader.h"
#include "settings/settings_schema.h"

namespace peridot {

namespace {

constexpr std::string_view schema_text = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["ip"],
  "properties": {
    "ip": {"type": "string", "minLength": 2, "maxLength": 45},
    "port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "latency_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
    "reads_per_second": {"type": "integer", "minimum": 1, "maximum": 1000000},
    "writes_per_second": {"type": "integer", "minimum": 1, "maximum": 1000000},
    "log_level": {"type": "string", "enum": ["debug", "info", "warning", "error"]}
  }
})json";

settings_schema const& schema() {
    static settings_schema const compiled(schema_text);
    return compiled;
}

result<platform_settings> convert_document(checked_document const& document,
                                           std::string_view name) {
    return convert_settings(document, name, [](settings_reader& reader) {
        platform_settings settings;
        settings.listen = reader.ip_and_port();
        settings.latency = reader.time("latency_ms", settings.latency);
        settings.reads_per_second = reader.number("reads_per_second", settings.reads_per_second);
        settings.writes_per_second = reader.number("writes_per_second", settings.writes_per_second);
        settings.log_level = reader.log_level();
        return settings;
    });
}

} // namespace

std::string_view platform_settings_schema() {
    return schema_text;
}

result<platform_settings> parse_platform_settings(std::string_view text, std::string_view name) {
    return convert_document(check_document(text, name, schema()), name);
}

result<platform_settings> load_platform_settings(std::filesystem::path const& file) {
    return convert_document(read_checked_document(file, schema()), file.string());
}

} // namespace peridot
