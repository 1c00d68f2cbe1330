#pragma once

#include <string>

namespace peridot {

/// The process that emits spans; OTLP calls it the resource.
struct span_source {
    std::string program;
    std::string instance;
    std::string availability_zone;
};

} // namespace peridot
