#pragma once

#include "configuration/manifest.h"
#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// What changes a manifest into another one.
struct manifest_difference {
    std::uint64_t version = 0;
    std::map<std::string, std::string> services;
    std::vector<std::string> removed_services;
    std::map<std::string, workspace_entry> workspaces;
    std::vector<std::string> removed_workspaces;
};

manifest_difference difference(manifest const& from, manifest const& to);

/// The result is untrusted until its hash is verified.
manifest apply(manifest base, manifest_difference const& change);

std::string serialize(manifest_difference const& change);

/// manifest_malformed if the text is no difference.
result<manifest_difference> parse_manifest_difference(std::string_view text);

} // namespace peridot
