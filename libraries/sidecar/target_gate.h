#pragma once

#include "core/socket_address.h"
#include "http/http_request.h"
#include "mesh/gate_load.h"
#include "mesh/target_record.h"
#include "sidecar/gate_answer.h"
#include "sidecar/gate_call.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridot {

class connection_pool;
class response_link;
class rollout_evidence;
struct service_terms;
struct sidecar_metrics;

/// Admission control for the local target. All requests to the target pass through it, whether they
/// come from this node or another one.
///
/// Its decisions require no coordination and hold even if other nodes have stale state: a target
/// that is out of service receives no new requests, a request intended for another target is
/// refused, a non-idempotent request is forwarded once, expired requests are dropped, and the
/// number of concurrent requests never exceeds the slots. Bound to one io_context and not
/// thread-safe.
class target_gate {
public:
    /// Called with a state that differs from the recorded one: draining, as the target states in a
    /// response; unreachable; or ready when an unreachable target responds.
    using state_function = std::function<void(target_record const&)>;

    target_gate(boost::asio::io_context& context, connection_pool& connections,
                socket_address target, response_link& link, sidecar_metrics& metrics,
                rollout_evidence& evidence, state_function report_state);
    ~target_gate();
    target_gate(target_gate const&) = delete;
    target_gate& operator=(target_gate const&) = delete;
    target_gate(target_gate&&) = delete;
    target_gate& operator=(target_gate&&) = delete;

    /// Forwards the request to the target once it has a slot, and returns the outcome.
    boost::asio::awaitable<gate_answer> run(gate_call call, http_request request);

    /// Sets the current local target. Waiting requests are refused when it goes out of service.
    void set_target(std::optional<target_record> const& target);

    /// Sets the version whose targets receive no requests; an empty text blocks none.
    void set_blocked_version(std::string version);

    /// While the target's availability zone is evacuated, every request is refused.
    void set_zone_evacuated(bool is_evacuated);

    /// Sets what the target accepts according to the configuration.
    void set_terms(service_terms const& terms);

    /// Records for how much longer the target is cold, as it has announced.
    void observe_warm_up(milliseconds remaining);

    /// Sets the time at which the node stops; requests that may not complete by then are refused.
    void set_stop_time(boot_time at);

    /// Whether the target runs a request that this node has passed on.
    bool is_target_at_work() const;

    gate_load load(std::string const& route) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace peridot
