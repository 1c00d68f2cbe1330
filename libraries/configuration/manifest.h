#pragma once

#include "configuration/workspace_entry.h"
#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridot {

/// The content of one configuration version, referenced by the hashes of its chunks.
struct manifest {
    std::uint64_t version = 0;
    /// Maps service names to chunk hashes.
    std::map<std::string, std::string> services;
    std::map<std::string, workspace_entry> workspaces;

    bool operator==(manifest const&) const = default;
};

result<manifest> parse_manifest(std::string_view text);

/// Returns the canonical JSON text of a manifest. Its SHA-256 identifies the manifest.
std::string serialize(manifest const& content);

} // namespace peridot
