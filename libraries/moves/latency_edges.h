#pragma once

#include "core/time.h"
#include "moves/route_evidence.h"
#include "moves/route_samples.h"

#include <array>
#include <cstddef>
#include <optional>

namespace peridot {

/// The latencies above which the calls of one route count as slow. Each lies above a quantile of
/// the old version's latencies and stays fixed once enough of its calls are known. Every route has
/// edges of its own, since slow calls of a quick route would not show among those of a slow one.
class latency_edges {
public:
    /// Returns the samples of the next block, and adds its old calls to the quantiles.
    route_samples observe(route_evidence const& increase);

    /// Time after which it is known of each call to the new version whether it is slow; no value
    /// while there is no edge.
    std::optional<microseconds> decision_time() const;

private:
    /// First bucket above each quantile of the old version's latencies.
    std::array<std::optional<std::size_t>, route_samples::quantile_count> buckets;
    version_evidence old_version;
};

} // namespace peridot
