#pragma once

#include "configuration/configuration_scope.h"

#include <string>

namespace peridot {

/// Which node this is, and what it needs of a version.
struct distribution_identity {
    std::string instance;
    std::string availability_zone;
    configuration_scope scope;
};

} // namespace peridot
