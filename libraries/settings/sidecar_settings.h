#pragma once

#include "core/log.h"
#include "core/result.h"
#include "core/socket_address.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Settings of peridot-sidecar. See docs/settings.md for a description of each key.
struct sidecar_settings {
    std::string instance;
    std::string ip;
    std::string availability_zone;
    /// The service of the target on this instance.
    std::string service;
    socket_address target;
    /// Address to which callers on this instance, including the target, send their requests.
    socket_address calls;
    /// Address to which nodes on other instances send requests for the target.
    socket_address peers;
    socket_address ready;
    socket_address heartbeats;
    /// Port for the exchange of state between nodes and for metrics; the same on every instance.
    std::uint16_t control_port = 0;
    socket_address store;
    /// Share of a processor core that is available to the instance. Nodes with larger shares follow
    /// the store's feed on behalf of the other nodes in their availability zone.
    double processor_share = 1;
    /// Memory, file descriptors and link rate that are available to the process; no value for no
    /// limit.
    std::optional<double> memory_mb;
    std::optional<std::uint32_t> max_descriptors;
    std::optional<double> link_mbps;
    /// Addresses of nodes from which to obtain state while the store is unavailable. They may be
    /// stale.
    std::vector<std::string> seeds;
    /// Limits and other numbers of the deployment, under the platform's names. Read by the platform
    /// adapter.
    std::map<std::string, double> bounds;
    log::level log_level = log::level::info;
};

/// Parses and validates settings. Errors refer to the file by the given name.
result<sidecar_settings> parse_sidecar_settings(std::string_view text, std::string_view name);

/// Reads, parses and validates a settings file.
result<sidecar_settings> load_sidecar_settings(std::filesystem::path const& file);

} // namespace peridot
