#pragma once

#include <cstdint>

namespace peridot {

/// The verdict that the gate may be raised to the given step.
struct step_raise {
    std::uint32_t step = 0;
};

} // namespace peridot
