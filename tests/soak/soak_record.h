#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace peridot::soak {

/// One request of the soak's callers and how it ended.
struct soak_record {
    std::string attempt;
    /// The instance that the request began on, and how often its node had been started then.
    std::size_t instance = 0;
    unsigned incarnation = 0;
    bool is_idempotent = true;
    /// The configuration version that the route needs; 0 for routes of every version.
    std::uint64_t needed_version = 0;
    steady_time started;
    steady_time ended;
    /// 0 without a whole answer.
    unsigned status = 0;
    /// Whether any byte of the request was sent.
    bool is_sent = true;
    /// Whether the answer is the one to this request.
    bool is_matching = true;
};

/// A time in which the node of an instance did not run: it was killed or frozen.
struct outage {
    std::size_t instance = 0;
    steady_time started;
    std::optional<steady_time> ended;
};

} // namespace peridot::soak
