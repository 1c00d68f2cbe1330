#pragma once

#include "core/time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace peridot::processes {

/// Returns the largest number of arrivals in any window of the given length.
inline std::size_t densest_window(std::vector<std::chrono::steady_clock::time_point> arrivals,
                                  milliseconds window) {
    std::ranges::sort(arrivals);
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= window) {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return largest;
}

} // namespace peridot::processes
