#pragma once

#include "core/boot_clock.h"
#include "mesh/request_kind.h"

#include <string>

namespace peridot {

/// A request on its way to the target of one member, with all that its gate decides by.
struct gate_call {
    std::string attempt_id;
    std::string route;
    request_kind kind = request_kind::non_idempotent;
    unsigned priority = 0;
    /// The target that is meant; another one at the same address does not get the request.
    std::string target_id;
    /// The service on whose instance the request began.
    std::string calling_service;
    /// Address of the node that sends the request.
    std::string sender;
    boot_time soft_deadline;
    boot_time deadline;
    boot_time finish_by;
};

} // namespace peridot
