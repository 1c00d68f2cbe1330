#pragma once

#include "mesh/gate_decision.h"
#include "mesh/gate_load.h"
#include "mesh/gate_request.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridot {

/// Decides which requests get the slots of the target beside the node, which wait and which are
/// refused. It answers the load pattern in which more work arrives than the target can do: a queue
/// in order of arrival then makes every answer late, and work is done whose caller has left.
///
/// The target never gets more requests than it has slots, since a target that cannot queue a
/// request may leave its connection without any answer. Requests wait in the order in which their
/// answers lose value; those that can no longer be in time come last. A request that is not
/// expected to be answered by its own limit is refused at once instead of being held until it has
/// expired.
///
/// One thread uses it; the time is an argument.
class gate_queue {
public:
    gate_queue();
    ~gate_queue();
    gate_queue(gate_queue const&) = delete;
    gate_queue& operator=(gate_queue const&) = delete;
    gate_queue(gate_queue&&) = delete;
    gate_queue& operator=(gate_queue&&) = delete;

    /// Requests that the target takes at the same time; zero while there is no target.
    void set_slots(unsigned slots);

    /// The node stops then. Requests that may run for longer are refused from now on.
    void set_stop_time(boot_time at);

    /// Decides on a new request. gate_start takes a slot.
    gate_decision offer(gate_request request, boot_time now);

    /// How the time of a request at the target ended.
    enum class outcome : std::uint8_t { succeeded, failed, unanswered };

    /// Gives back the slot of a request. Requests that succeeded tell how long their route takes.
    /// Others tell only if they took longer: a target that fails at once is not a fast one.
    void finish(std::uint64_t id, outcome how, boot_time now);

    /// Forgets a waiting request whose caller has left.
    void cancel(std::uint64_t id);

    /// The requests that leave the queue now: those that get a slot and those that are refused.
    struct dequeued_requests {
        std::vector<std::uint64_t> started;
        std::vector<std::pair<std::uint64_t, gate_refusal>> refused;
    };
    dequeued_requests dispatch(boot_time now);

    /// Refuses every waiting request, as when the target leaves.
    dequeued_requests refuse_all(result_code reason);

    /// The load as it matters for a request of the route.
    gate_load load(std::string const& route, boot_time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
