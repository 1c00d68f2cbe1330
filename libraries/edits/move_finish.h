#pragma once

#include <string>

namespace peridot {

/// Finishes a move: sets the service's target version and records the decision.
struct move_finish {
    std::string id;
    std::string service;
    std::string target_version;
    /// JSON text of the decision to record, with its evidence.
    std::string decision;
};

} // namespace peridot
