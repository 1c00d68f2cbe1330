#pragma once

#include "core/boot_clock.h"
#include "core/time.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridot {

struct gate_request;

/// Decides in which order the waiting requests of several workspaces get slots of one target.
///
/// Answers four load patterns of a target without enough capacity: a workspace that sends several
/// times its usual rate, a burst of one route, callers that retry at once, and callers that leave.
/// Ordered by urgency alone, the requests of such a workspace or route displace all others.
///
/// The first of these criteria that differs decides:
/// - A workspace or route that was served far less often than all goes first.
/// - Calls that an accepted request makes go before new requests: refusing them wastes the work
///   that was done for the accepted request. They are the requests without a workspace.
/// - Priority of the workspace; without one it ranks last.
/// - Routes that were served more often than a more urgent one go last.
/// - Deficit round robin among workspaces: the one that has recently used least slot time in
///   relation to its usual demand goes first.
/// - Requests of callers that have come back go before others of their workspace.
/// - Rank by deadline. The newest request of a route goes first while many callers of the workspace
///   leave before they get a slot.
///
/// Not thread-safe. The current time is passed as an argument and must not be earlier than in the
/// last call.
class fair_order {
public:
    fair_order();
    ~fair_order();
    fair_order(fair_order const&) = delete;
    fair_order& operator=(fair_order const&) = delete;
    fair_order(fair_order&&) = delete;
    fair_order& operator=(fair_order&&) = delete;

    /// Records a new request with the expected slot time and determines whether its caller was
    /// refused before. Nothing is recorded before the first request of a workspace.
    void record_offer(gate_request& request, nanoseconds slot_time, boot_time now);

    /// Records that a request was refused.
    void record_refusal(gate_request const& request, boot_time now);

    /// Takes back a new request whose caller has left before it was decided on: callers that leave
    /// early must not make their workspace count as poorly served.
    void withdraw_offer(gate_request const& request, nanoseconds slot_time, boot_time now);

    /// Records that a request got a slot.
    void record_start(gate_request const& request, nanoseconds slot_time, boot_time now);

    /// Corrects the slot time of a request of the workspace after its end.
    void correct_slot_time(std::string const& workspace, nanoseconds expected, nanoseconds actual,
                           boot_time now);

    /// A waiting request.
    struct candidate {
        gate_request const* request = nullptr;
        /// Order among the requests of the same workspace and route.
        std::pair<bool, boot_time> rank;
        /// Expected slot time.
        nanoseconds slot_time{0};
        /// Whether an answer by the deadline is likely. A request without this has no claim to go
        /// first because others of its workspace or route were served rarely.
        bool is_likely_answered = true;
    };

    struct placement {
        /// Index among the candidates.
        std::size_t position = 0;
        /// Whether the request goes first because its workspace or route was served rarely.
        bool is_owed = false;
    };

    /// Returns all candidates in the order in which they get slots, each on the assumption that
    /// those before it have started.
    std::vector<placement> order(std::vector<candidate> const& waiting, boot_time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
