#pragma once

#include "core/log.h"
#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace peridot {

/// Settings of the target stand-in.
struct target_settings {
    socket_address listen;
    std::string service;
    std::string target_version;
    /// Admin address of the node on the same instance, where the target registers.
    socket_address node_admin;
    /// Number of requests that the target executes concurrently.
    std::uint32_t slots = 12;
    /// Time after the start during which requests take longer.
    milliseconds cold_start{0};
    /// Execution time of one request.
    milliseconds service_time{10};
    log::level log_level = log::level::info;
};

/// Returns the JSON schema of the target stand-in's settings file.
std::string_view target_settings_schema();

/// Parses and validates settings. Errors refer to the file by the given name.
result<target_settings> parse_target_settings(std::string_view text, std::string_view name);

/// Reads, parses and validates a settings file.
result<target_settings> load_target_settings(std::filesystem::path const& file);

} // namespace peridot
