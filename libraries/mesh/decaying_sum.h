#pragma once

#include "core/boot_clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace peridot {

/// A sum whose older parts are forgotten with a half-life. Not thread-safe; the current time is
/// passed as an argument and must not be earlier than in the last call.
class decaying_sum {
public:
    using half_life = std::chrono::duration<double>;

    explicit decaying_sum(half_life life) : life(life) {}

    double at(boot_time now) const {
        return this->value * std::exp2(-(now - this->updated) / this->life);
    }

    /// A negative amount takes back an earlier one; the sum does not fall below zero.
    void add(double amount, boot_time now) {
        this->value = std::max(0.0, this->at(now) + amount);
        this->updated = now;
    }

private:
    half_life life;
    double value = 0;
    boot_time updated;
};

} // namespace peridot
