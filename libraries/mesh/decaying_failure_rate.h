#pragma once

#include "core/boot_clock.h"

#include <cstdint>

namespace peridot {

/// Failure rate of a target, as an exponential moving average over its responses.
///
/// The rate also decays with a half-life of a few seconds while no response arrives. Without the
/// decay, a target that gets no requests could never be found to have recovered.
class decaying_failure_rate {
public:
    enum class outcome : std::uint8_t { succeeded, failed };

    void observe(outcome result, boot_time now);
    /// Replaces the rate by one that another node reported.
    void set(double rate, boot_time now);

    /// The decayed rate, from 0 to 1.
    double at(boot_time now) const;

private:
    double rate = 0;
    boot_time updated_at;
};

} // namespace peridot
