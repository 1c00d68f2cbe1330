#pragma once

#include "core/result_code.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peridot {

/// The state of distribution at one node, for operators.
struct distribution_report {
    /// The newest version heard of, from the platform or from a peer.
    std::uint64_t head_seen = 0;
    std::string head_seen_manifest;
    /// The version the platform named last.
    std::uint64_t platform_head = 0;
    /// The platform's head is older than the held version, as after a restore.
    bool is_platform_older = false;
    /// No value if the platform never confirmed the held version.
    std::optional<milliseconds> confirmation_age;
    bool is_watcher = false;
    /// False at the start and after a freeze, until the version is confirmed.
    bool is_confirmed = false;
    std::uint64_t freezes = 0;
    std::map<result_code, std::uint64_t> refusals;
};

} // namespace peridot
