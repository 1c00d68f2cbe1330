#pragma once

#include "soak/soak_fault.h"

#include <cstdint>
#include <vector>

namespace peridot::soak {

/// The faults of a seed in the order of their times; they come in series and overlap. The same
/// seed gives the same schedule.
std::vector<soak_fault> make_schedule(std::uint64_t seed, milliseconds duration,
                                      std::size_t instances);

} // namespace peridot::soak
