#pragma once

#include "core/rcu_cell.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/target_record.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

class fleet_sync;
struct sidecar_settings;

/// Receives the target's announcements, applies them to the gate and records them in the store.
///
/// Once a deregistration is acknowledged, it is in force on this node. It is also written to the
/// store before the acknowledgement if the store responds in time. If it does not, the next process
/// of the node finds an older record. It therefore uses a recorded target only after the target has
/// announced itself again, which a target that has left does not do. A late heartbeat from before
/// the leaving may arrive first, so a target is also used only once the node's record is known, and
/// a record that shows a leaving is never overwritten by an announcement of the same process.
class target_announcements {
public:
    /// Applies a record to the gate; the awaitable completes once it is in force.
    using apply_function =
        std::function<boost::asio::awaitable<void>(std::optional<target_record>)>;

    /// Called with the remaining time for which the target is cold, for each of its heartbeats.
    using warm_up_function = std::function<void(milliseconds)>;

    target_announcements(boost::asio::io_context& context, sidecar_settings const& settings,
                         fleet_sync& fleet, apply_function apply, warm_up_function report_warm_up);
    ~target_announcements();
    target_announcements(target_announcements const&) = delete;
    target_announcements& operator=(target_announcements const&) = delete;
    target_announcements(target_announcements&&) = delete;
    target_announcements& operator=(target_announcements&&) = delete;

    /// Responds to a call from the target.
    boost::asio::awaitable<http_response> respond(http_request request);

    /// Applies and records a state of the target that the gate has observed. It is unreachable only
    /// if it does not announce itself either.
    void observe_state(target_record const& target);

    /// Merges the node's record in the replica, which an earlier process of it may have written.
    void rows_changed();

    /// Whether a record of a ready target was read that the target has not confirmed since the
    /// start of this process. Thread-safe.
    bool awaits_target() const;

    /// Whether the store holds the target's last announcement. Thread-safe.
    bool is_recorded() const;

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

} // namespace peridot
