#pragma once

#include "core/boot_clock.h"
#include "moves/call_outcome.h"
#include "moves/evidence_counter.h"
#include "moves/route_evidence.h"
#include "moves/target_side.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peridot {

/// Counts the requests of one target for one roll-out, also those that are in progress or whose
/// callers left. A version that answers slowly shows first in the requests that have no answer
/// yet, and if its callers do not wait for it, only there. Not thread-safe.
class request_observer {
public:
    /// Selects the roll-out that requests count for from now on. Another one starts at zero,
    /// without the requests that are in progress.
    void set_rollout(std::string const& id);

    std::string const& rollout() const { return this->id; }

    /// Starts to observe a request. Without a side it belongs to no roll-out and is not counted.
    /// The pressure is the percentage of the target's slots in use. Returns the request's number.
    std::uint64_t start(std::string route, std::optional<target_side> side, unsigned pressure,
                        boot_time now);

    /// Fixes the latency of a request.
    void set_response_started(std::uint64_t number, boot_time now);

    /// Ends a request; an unknown or ended number has no effect.
    void finish(std::uint64_t number, call_outcome outcome, boot_time now);

    /// Counts how long the requests in progress have lasted, and returns all counts.
    evidence_by_route const& counts(boot_time now);

private:
    struct open_request {
        std::string route;
        std::optional<target_side> side;
        unsigned pressure = 0;
        boot_time started;
        std::optional<boot_time> response_started;
        /// Latency buckets in which the request is already counted as having reached them.
        std::size_t counted_buckets = 0;

        microseconds latency(boot_time now) const;
    };

    std::string id;
    evidence_counter counter;
    std::map<std::uint64_t, open_request> open;
    std::uint64_t last_number = 0;
};

} // namespace peridot
