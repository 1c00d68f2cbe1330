#pragma once

#include "core/log.h"
#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"

#include <cstdint>
#include <filesystem>
#include <string_view>

namespace peridot {

/// Settings of the platform stand-in.
struct platform_settings {
    socket_address listen;
    /// Delay before each answer.
    milliseconds latency{0};
    std::uint32_t reads_per_second = 2000;
    std::uint32_t writes_per_second = 400;
    log::level log_level = log::level::info;
};

/// Returns the JSON schema of the platform stand-in's settings file.
std::string_view platform_settings_schema();

/// Parses and validates settings. Errors refer to the file by the given name.
result<platform_settings> parse_platform_settings(std::string_view text, std::string_view name);

/// Reads, parses and validates a settings file.
result<platform_settings> load_platform_settings(std::filesystem::path const& file);

} // namespace peridot
