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

/// A request while it is offered to one member after another, and what became of it so far.
struct request_placement {
    std::shared_ptr<fleet_view const> view;
    /// Owns the route; a request stays with the configuration that it began with.
    std::shared_ptr<mesh_configuration const> configuration;
    mesh_route const* route = nullptr;
    std::string service;
    /// The target version that the shares of a roll-out give the request; empty until chosen.
    std::string version;
    gate_call call;
    http_request request;
    boot_time arrived;
    target_selector::attempt_history attempts;
    /// Members that were asked.
    unsigned offers = 0;
    /// Offers that only told of a newer target.
    unsigned corrections = 0;
    /// Times that the request reached a target.
    unsigned sends = 0;
    bool may_have_run = false;
    /// The caller has left, or the node stops.
    bool is_cancelled = false;
    /// The answer of a target that failed, while another one is tried.
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
