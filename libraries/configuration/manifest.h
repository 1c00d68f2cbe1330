#pragma once

#include "configuration/workspace_entry.h"
#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridot {

/// The content of one configuration version, by the hashes of its chunks.
struct manifest {
    std::uint64_t version = 0;
    /// Service name to chunk hash.
    std::map<std::string, std::string> services;
    std::map<std::string, workspace_entry> workspaces;

    bool operator==(manifest const&) const = default;
};

result<manifest> parse_manifest(std::string_view text);

/// The one JSON text of a manifest; its SHA-256 names the manifest.
std::string serialize(manifest const& content);

} // namespace peridot
