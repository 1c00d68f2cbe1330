#pragma once

#include "core/log.h"
#include "core/result.h"
#include "core/socket_address.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Settings of peridot-sidecar. docs/settings.md explains each key.
struct sidecar_settings {
    std::string instance;
    std::string ip;
    std::string availability_zone;
    /// The service of the target on this instance.
    std::string service;
    socket_address target;
    /// Where callers on this instance, the target among them, send their requests.
    socket_address calls;
    /// Where the nodes of other instances send requests for the target.
    socket_address peers;
    socket_address ready;
    socket_address heartbeats;
    /// Port for state exchange between nodes and for metrics, the same on every instance.
    std::uint16_t control_port = 0;
    socket_address store;
    /// Part of a processor core that the instance has. Nodes with more follow the store's feed for
    /// the others of their availability zone.
    double processor_share = 1;
    /// Addresses of nodes to learn from while the store is out; may be stale.
    std::vector<std::string> seeds;
    /// Figures of the deployment by the platform's names; the adapter to the platform reads them.
    std::map<std::string, double> bounds;
    log::level log_level = log::level::info;
};

/// Takes settings from a text; the name stands for the file in an error.
result<sidecar_settings> parse_sidecar_settings(std::string_view text, std::string_view name);

/// Reads and checks a settings file.
result<sidecar_settings> load_sidecar_settings(std::filesystem::path const& file);

} // namespace peridot
