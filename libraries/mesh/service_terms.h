#pragma once

#include "core/time.h"

#include <cstddef>
#include <optional>

namespace peridot {

/// What the targets of a service accept, as stated by the active configuration.
struct service_terms {
    /// Number of connections that one target accepts.
    std::size_t connections = 0;
    /// Time for which a target is cold after its start.
    milliseconds cold_start{0};
    /// Requests per second that a cold target accepts; no value if cold targets are not limited.
    std::optional<double> cold_rate;

    bool operator==(service_terms const&) const = default;
};

} // namespace peridot
