#pragma once

namespace peridot {

/// What a node found when it asked another one for rows.
enum class source_observation {
    /// The node follows the store's feed.
    current,
    /// The node answered, but does not follow the feed or has lost the store.
    stale,
    unreachable,
};

} // namespace peridot
