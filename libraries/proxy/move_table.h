#pragma once

#include "proxy/moved_service.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace peridot {

/// The moves of the held version by service. Immutable; the control thread publishes a new one.
struct move_table {
    std::unordered_map<std::string, std::shared_ptr<moved_service const>> services;
};

} // namespace peridot
