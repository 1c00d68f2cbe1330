#pragma once

#include <string>

namespace peridot {

/// Declares a move of a service's traffic, or replaces the plan of a declared move.
struct move_put {
    std::string id;
    std::string service;
    /// JSON text of the plan, which is stored in the service's chunk.
    std::string plan;
};

} // namespace peridot
