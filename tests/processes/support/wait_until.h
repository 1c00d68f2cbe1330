#pragma once

#include "core/time.h"

#include <thread>

namespace peridot::processes {

/// Limit of every wait in the tests. It is generous because build machines can be slow.
inline constexpr seconds wait_limit{60};
inline constexpr milliseconds poll_pause{20};

/// Polls until the condition holds. Returns false if it does not hold within the limit.
template<typename Condition>
bool wait_until(Condition const& condition) {
    auto const limit = std::chrono::steady_clock::now() + wait_limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= limit) {
            return false;
        }
        std::this_thread::sleep_for(poll_pause);
    }
    return true;
}

} // namespace peridot::processes
