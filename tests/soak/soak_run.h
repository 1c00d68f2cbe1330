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
    /// Time in which faults begin.
    milliseconds duration{8000};
    std::size_t instances = 6;
};

struct soak_result {
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t faults = 0;
    /// One line for each promise that was broken.
    std::vector<std::string> violations;
};

/// Runs a fleet of sidecars through the schedule of the seed and checks the promises. The log gets
/// the faults as they happen and, when a promise was broken, what the nodes wrote.
soak_result run_soak(soak_options const& options, std::ostream& log);

} // namespace peridot::soak
