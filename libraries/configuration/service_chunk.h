#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace peridot {

/// The configuration of one service.
struct service_chunk {
    std::string service;
    /// The target version that receives all traffic while no move is in progress.
    std::string target_version;
    /// JSON text of the declared move (see move_plan), or empty if there is none.
    std::string move;

    bool operator==(service_chunk const&) const = default;
};

result<service_chunk> parse_service_chunk(std::string_view text);

/// Returns the canonical JSON text of a chunk, so that equal chunks have equal hashes.
std::string serialize(service_chunk const& chunk);

} // namespace peridot
