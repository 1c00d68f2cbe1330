#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace peridot::soak {

struct soak_options {
    std::uint64_t seed = 1;
    /// Period in which faults start; a fault may last beyond it.
    milliseconds duration{8000};
    std::size_t instances = 6;
    /// Whether the logs of the nodes are written without a violation too.
    bool writes_all_logs = false;
};

struct soak_result {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t faults = 0;
    /// One line per violation.
    std::vector<std::string> violations;
};

/// Runs a fleet of sidecars through the fault schedule of the seed and checks the documented
/// guarantees. Writes each fault to the log when it is injected and, after a violation or on
/// request, the logs of the nodes.
soak_result run_soak(soak_options const& options, std::ostream& log);

} // namespace peridot::soak
