#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace peridot::soak {

/// A request of a soak caller and its outcome.
struct soak_record {
    std::string attempt;
    /// The instance that received the request, and the number of restarts of its node before it.
    std::size_t instance = 0;
    unsigned incarnation = 0;
    bool is_idempotent = true;
    /// The lowest configuration version that contains the route; 0 if every version does.
    std::uint64_t needed_version = 0;
    steady_time started;
    steady_time ended;
    /// 0 if no complete answer arrived.
    unsigned status = 0;
    /// Whether any byte of the request was sent.
    bool is_sent = true;
    /// Whether the answer carries the id of this request.
    bool is_matching = true;
};

/// A period in which an instance's node was killed or frozen. It has no end while it lasts.
struct outage {
    std::size_t instance = 0;
    steady_time started;
    std::optional<steady_time> ended;
};

} // namespace peridot::soak
