#pragma once

#include "core/boot_clock.h"
#include "mesh/request_kind.h"

#include <optional>
#include <string>

namespace peridot {

/// A request on its way to the target of one member, with all data that the member's gate decides
/// on.
struct gate_call {
    std::string attempt_id;
    std::string route;
    request_kind kind = request_kind::non_idempotent;
    unsigned priority = 0;
    /// Workspace of the caller; empty if the request has none.
    std::string workspace;
    /// Goes before the priority of the route.
    std::optional<unsigned> workspace_priority;
    /// The intended target; a different target at the same address does not receive the request.
    std::string target_id;
    /// The service on whose instance the request originated.
    std::string calling_service;
    /// Address of the node that sends the request.
    std::string sender;
    boot_time soft_deadline;
    boot_time deadline;
    boot_time finish_by;
    /// Requests per second that the target has stated to the sender.
    std::optional<double> rate_limit;
};

} // namespace peridot
