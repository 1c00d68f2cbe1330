#pragma once

#include <chrono>

namespace peridot {

/// Returns the given fraction of a time, truncated to the resolution of its type.
template<typename Representation, typename Period>
std::chrono::duration<Representation, Period>
fraction_of(std::chrono::duration<Representation, Period> time, double fraction) {
    std::chrono::duration<double, Period> const exact = time;
    return std::chrono::duration_cast<std::chrono::duration<Representation, Period>>(exact *
                                                                                     fraction);
}

} // namespace peridot
