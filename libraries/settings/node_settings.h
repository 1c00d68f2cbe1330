#pragma once

#include "core/log.h"
#include "core/result.h"
#include "core/socket_address.h"
#include "core/time.h"
#include "settings/node_ports.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Settings of peridot-node. See docs/settings.md for a description of each key.
struct node_settings {
    std::string instance;
    std::string ip;
    std::string availability_zone;
    std::string region;
    socket_address platform;
    /// Peer addresses (IP and gossip port) for joining the fleet while the platform is unavailable.
    std::vector<socket_address> seeds;
    node_ports ports;
    std::uint32_t workers = 2;
    milliseconds drain_time{10'000};
    /// The services whose configuration the node holds; absent for all services.
    std::optional<std::vector<std::string>> scope;
    std::optional<socket_address> trace_collector;
    log::level log_level = log::level::info;
};

/// Returns the JSON schema of the node's settings file.
std::string_view node_settings_schema();

/// Parses and validates settings. Errors refer to the file by the given name.
result<node_settings> parse_node_settings(std::string_view text, std::string_view name);

/// Reads, parses and validates a settings file.
result<node_settings> load_node_settings(std::filesystem::path const& file);

} // namespace peridot
