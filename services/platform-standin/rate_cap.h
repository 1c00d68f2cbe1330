#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>

namespace peridot {

/// A token bucket with a capacity of one second of requests.
class rate_cap {
public:
    bool try_take(std::uint32_t per_second, steady_time now) {
        auto const elapsed = std::chrono::duration<double>(now - this->last).count();
        this->last = now;
        this->tokens = std::min<double>(per_second, this->tokens + elapsed * per_second);
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

private:
    double tokens = 0;
    steady_time last;
};

} // namespace peridot
