#pragma once

#include "configuration/manifest.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace peridot {

/// Chunks by hash.
using chunk_map = std::map<std::string, std::shared_ptr<std::string const>, std::less<>>;

/// What a node serves to its peers of the version it holds. Immutable.
struct peer_content {
    std::uint64_t version = 0;
    std::string manifest_hash;
    std::shared_ptr<manifest const> current;
    chunk_map chunks;
    /// Earlier manifests by version, so that peers can fetch a difference.
    std::map<std::uint64_t, std::shared_ptr<manifest const>> earlier;
};

/// Earlier versions that a node can make a difference from.
inline constexpr std::size_t earlier_manifests = 16;

} // namespace peridot
