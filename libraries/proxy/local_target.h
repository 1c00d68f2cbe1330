#pragma once

#include "core/socket_address.h"

#include <cstdint>
#include <memory>
#include <string>

namespace peridot {

class admission_controller;

/// The target beside a node, as it last announced itself.
struct local_target {
    socket_address address;
    std::string service;
    std::string target_version;
    std::uint32_t slots = 0;
    bool is_draining = false;
    /// Gives out the target's slots; shared by the workers.
    std::shared_ptr<admission_controller> admission;

    bool operator==(local_target const&) const = default;
};

} // namespace peridot
