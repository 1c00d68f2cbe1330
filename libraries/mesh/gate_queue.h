#pragma once

#include "mesh/gate_decision.h"
#include "mesh/gate_load.h"
#include "mesh/gate_request.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridot {

/// Decides which requests get the slots of the node's target, which are queued and which are
/// refused.
///
/// The queue protects the target from overload. When more work arrives than the target can handle,
/// a first-in, first-out queue makes every response late and spends capacity on requests whose
/// callers have already given up.
///
/// The target never gets more requests than it has slots, since a target that cannot queue a
/// request may close its connection without any response, and no more requests per second than it
/// has stated that it accepts. Requests are queued in the order of their soft deadlines; those that
/// can no longer meet theirs come last. A small share of the slot time is reserved for the routes
/// that use least of it, so that a frequent route cannot starve another one. A request that is not
/// expected to be answered by its own limit is refused immediately and not held until it expires.
/// While requests of workspaces are queued, fair_order decides on the order instead.
///
/// Not thread-safe. The current time is passed as an argument.
class gate_queue {
public:
    gate_queue();
    ~gate_queue();
    gate_queue(gate_queue const&) = delete;
    gate_queue& operator=(gate_queue const&) = delete;
    gate_queue(gate_queue&&) = delete;
    gate_queue& operator=(gate_queue&&) = delete;

    /// Sets the number of concurrent requests that the target accepts; zero while there is no
    /// target.
    void set_slots(unsigned slots);

    /// Sets the number of requests per second that the target accepts; no value removes the limit.
    void set_rate_limit(std::optional<double> requests_per_second, boot_time now);

    /// Sets the present pace of work on the target's instance; 1 is usual, which also holds until
    /// the first call. Service times are measured in work at the usual pace, so that a change of
    /// the pace is in the forecast at once and not only after several slow responses.
    void set_pace(double pace, boot_time now);

    /// Forgets the pace and the work that was measured with it, for example when the target is
    /// replaced.
    void reset_pace(boot_time now);

    /// Sets the time at which the node stops. Requests that may run beyond it are refused from now
    /// on.
    void set_stop_time(boot_time at);

    /// Decides on a new request. A result of gate_start has taken a slot.
    gate_decision offer(gate_request request, boot_time now);

    /// Outcome of a request at the target.
    enum class outcome : std::uint8_t { succeeded, failed, unanswered };

    /// Releases the slot of a request. The service time of its route is updated if the request
    /// succeeded. Otherwise it is updated only if the request took longer than the mean: a target
    /// that fails immediately is not a fast one.
    void finish(std::uint64_t id, outcome result, boot_time now);

    /// Releases the slot of a request whose caller has left while the target was at work on it. The
    /// target ends the work at the deadline at the latest.
    void abandon(std::uint64_t id, boot_time deadline, boot_time now);

    /// The target refused a request that had got a slot.
    void observe_target_refusal(boot_time now);

    /// Removes a queued request whose caller has disconnected.
    void cancel(std::uint64_t id, boot_time now);

    /// Requests that have left the queue: those that got a slot and those that were refused.
    struct dequeued_requests {
        std::vector<std::uint64_t> started;
        std::vector<std::pair<std::uint64_t, gate_refusal>> refused;
    };
    dequeued_requests dispatch(boot_time now);

    /// Refuses every queued request, for example when the target is draining.
    dequeued_requests refuse_all(result_code reason);

    /// Number of requests that have a slot.
    std::size_t running_count() const;

    /// Load of the target, as it applies to a request of the route.
    gate_load load(std::string const& route, boot_time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
