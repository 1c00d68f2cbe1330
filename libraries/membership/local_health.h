#pragma once

#include <algorithm>

namespace peridot {

/// Lifeguard's local health score: a member that misses acks first assumes a local fault and
/// extends the timeouts for other members.
class local_health {
public:
    explicit local_health(unsigned limit) : highest(limit) {}

    void worsen() { this->score = std::min(this->score + 1, this->highest); }
    void improve() { this->score = this->score > 0 ? this->score - 1 : 0; }

    /// Factor for periods and timeouts; one when healthy.
    unsigned multiplier() const { return this->score + 1; }

private:
    unsigned score = 0;
    unsigned highest;
};

} // namespace peridot
