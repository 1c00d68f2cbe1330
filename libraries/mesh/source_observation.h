#pragma once

namespace peridot {

/// Result of a request for rows to another node.
enum class source_observation {
    /// The node follows the store's feed.
    current,
    /// The node responded, but does not follow the feed or has lost the store.
    stale,
    unreachable,
};

} // namespace peridot
