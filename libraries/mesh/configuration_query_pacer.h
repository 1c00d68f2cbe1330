#pragma once

#include "core/time.h"

#include <cstdint>

namespace peridot {

/// Decides when a node asks another one for a newer configuration that it has heard of.
///
/// Each response of a node names the version that it holds, so only one in a while may cause a
/// query. A query can fail, so a version that is still missing is asked for again. Not thread-safe.
class configuration_query_pacer {
public:
    /// Whether to ask for the version now; a positive result counts as asked.
    bool try_start(std::uint64_t held_version, std::uint64_t heard_version, steady_time now);

private:
    std::uint64_t asked_version = 0;
    steady_time asked_at;
};

} // namespace peridot
