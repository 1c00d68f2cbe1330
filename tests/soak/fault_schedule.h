#pragma once

#include "soak/soak_fault.h"

#include <cstdint>
#include <vector>

namespace peridot::soak {

/// Returns the faults of a seed, ordered by start time; faults may overlap. The schedule is
/// deterministic for a seed.
std::vector<soak_fault> make_schedule(std::uint64_t seed, milliseconds duration,
                                      std::size_t instances);

} // namespace peridot::soak
