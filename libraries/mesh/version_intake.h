#pragma once

#include "core/time.h"
#include "moves/route_evidence.h"

#include <cstdint>
#include <optional>

namespace peridot {

/// Whether a new version takes the requests that its share stands for.
///
/// Answers targets of a new version that cannot be reached: their requests fall back to the old
/// version and leave no evidence, so that the roll-out would go on to all requests and complete.
///
/// Requests are counted in blocks, since targets may go at any time. Times are those of the store's
/// clock.
class version_intake {
public:
    /// Counts the requests sent so far to both versions, of which the new one has the given share.
    void observe(double share, route_evidence const& sent, milliseconds now);

    /// Whether the new version got less than a quarter of its share in the last block. False while
    /// there are too few requests to tell.
    bool is_missing() const { return this->is_share_missing; }

private:
    struct sent_requests {
        std::uint64_t to_old = 0;
        std::uint64_t to_new = 0;
    };

    void start_share(double share, milliseconds now);

    std::optional<double> current_share;
    milliseconds changed{0};
    std::optional<sent_requests> block_start;
    bool is_share_missing = false;
};

} // namespace peridot
