#pragma once

#include "core/boot_clock.h"
#include "core/result_code.h"
#include "core/time.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "mesh/target_selector.h"
#include "sidecar/gate_call.h"

#include <memory>
#include <optional>
#include <string>

namespace peridot {

class mesh_configuration;
struct fleet_view;
struct mesh_route;

/// State of a request while it is offered to one member after another.
struct request_placement {
    std::shared_ptr<fleet_view const> view;
    /// Owns the route. A request uses the same configuration from start to end.
    std::shared_ptr<mesh_configuration const> configuration;
    mesh_route const* route = nullptr;
    std::string service;
    /// The target version selected by the shares of a roll-out; empty until selected.
    std::string version;
    gate_call call;
    http_request request;
    /// The caller's key, which is checked again before each offer; never logged or passed on.
    std::string key;
    boot_time arrived;
    target_selector::attempt_history attempts;
    /// Number of members that the request was offered to.
    unsigned offers = 0;
    /// Number of offers to gates that had no usable target, or returned the record of a newer one.
    unsigned uncounted_offers = 0;
    /// Number of offers that were refused for load, and of those that failed because the target
    /// could not be reached or was out of service.
    unsigned overloaded_offers = 0;
    unsigned unavailable_offers = 0;
    /// Number of times that the request reached a target.
    unsigned sends = 0;
    bool may_have_run = false;
    /// The caller has disconnected, or the node is stopping.
    bool is_cancelled = false;
    /// Response of a failed target, kept while another target is tried.
    std::optional<http_response> failure;
    milliseconds retry_after{0};
    result_code reason = result_code::request_no_endpoint;

    struct last_offer {
        std::string instance;
        boot_time at;
    };
    last_offer last;
};

} // namespace peridot
